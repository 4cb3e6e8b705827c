// Keys of TOML files. A file format is described once, by a function that visits its keys in order; the
// visitors below read it, print it and list it for the documentation, so the three cannot differ.
#pragma once

#include "core/Basics.h"

#include <concepts>
#include <fmt/format.h>
#include <map>
#include <set>
#include <toml++/toml.h>

namespace Gooseberrymill {

//-----------------------------------------------------------------------------
// [SECTION] Errors of a file
//-----------------------------------------------------------------------------

// One error in a file. The text form is "file:line: key.path: found X; allowed: Y".
struct FileError {
    std::string file;
    uint32_t line = 0; // 0: the whole file
    std::string keyPath; // "service[0].route[2].path"; empty for a syntax error
    std::string found;
    std::string allowed;
    bool operator==(const FileError&) const = default;
};

std::string toString(const FileError&);

// A value read from a file, or every error found in it.
template <typename T> struct FileResult {
    std::optional<T> value;
    std::vector<FileError> errors;
};

//-----------------------------------------------------------------------------
// [SECTION] Text forms
//-----------------------------------------------------------------------------

std::optional<Duration> parseDuration(std::string_view); // "250ms"; units us, ms, s, min, h, d
std::string printDuration(Duration); // in the largest unit that is exact
std::optional<uint64_t> parseSize(std::string_view); // "64KiB"; units B, KiB, MiB, GiB
std::string printSize(uint64_t);

// What a text may look like.
struct TextRule {
    std::string_view allowed; // for error messages and the documentation
    bool (*accepts)(std::string_view);
    bool isSecret = false; // never repeated in a message
};

bool isName(std::string_view); // 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit
bool isPrintable(std::string_view); // no control characters, valid for a one-line text
bool isAddress(std::string_view); // "ip:port" or "[ip]:port", port above 0

// A text as error messages show it: on one line, and cut when it is long.
std::string quoteForMessage(std::string_view);

extern const TextRule nameRule;

// Conversion between a value and its text in the file.
template <typename T> struct TextCodec {
    std::string_view type; // type in the documentation
    std::string_view allowed;
    std::optional<T> (*parse)(std::string_view);
    std::string (*print)(const T&);
};

template <typename T> struct Bounds {
    T min;
    T max;
};

enum class Presence : uint8_t { Optional, Required };

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

// Errors and line numbers collected while one file is read.
class ReadContext {
public:
    explicit ReadContext(std::string file)
        : m_file(std::move(file))
    {
    }

    void recordLine(const std::string& keyPath, uint32_t line) { m_lines[keyPath] = line; }
    void report(const std::string& keyPath, std::string found, std::string allowed);
    void reportAt(uint32_t line, const std::string& keyPath, std::string found, std::string allowed);
    // True when the key or anything below it was reported. Rules over several keys skip such keys.
    bool isRejected(const std::string& keyPath) const;
    uint32_t lineOf(std::string keyPath) const; // of the key, or of the nearest section around it
    std::vector<FileError> takeErrors(); // in the order of lines

private:
    std::string m_file;
    std::map<std::string, uint32_t> m_lines;
    std::set<std::string> m_rejected;
    std::vector<FileError> m_errors;
};

// Parses TOML text; a syntax error is reported to the context.
std::optional<toml::table> parseToml(std::string_view text, ReadContext&);

// Reads the keys of one table. finish() reports the keys that no call has asked for.
class SectionReader {
public:
    static constexpr bool isReading = true;

    SectionReader(ReadContext& context, const toml::table* table, std::string path)
        : m_context(context)
        , m_table(table)
        , m_path(std::move(path))
    {
    }

    void text(std::string_view key, std::string& value, const TextRule&, Presence, std::string_view description);
    void flag(std::string_view key, bool& value, std::string_view description);
    void real(std::string_view key, double& value, Bounds<double>, std::string_view description);
    void duration(std::string_view key, Duration& value, Bounds<Duration>, std::string_view description);
    void textList(std::string_view key, std::vector<std::string>& value, const TextRule&, size_t limit,
        std::string_view description);
    void integerList(std::string_view key, std::vector<uint16_t>& value, Bounds<uint64_t>, size_t limit,
        std::string_view description);

    template <std::unsigned_integral T>
    void integer(std::string_view key, T& value, Bounds<uint64_t> bounds, Presence presence, std::string_view)
    {
        if (auto number = readInteger(key, bounds, presence))
            value = static_cast<T>(*number);
    }

    template <std::unsigned_integral T>
    void size(std::string_view key, T& value, Bounds<uint64_t> bounds, std::string_view)
    {
        if (auto number = readSize(key, bounds))
            value = static_cast<T>(*number);
    }

    template <typename T>
    void coded(std::string_view key, T& value, const TextCodec<T>& codec, Presence presence, std::string_view)
    {
        auto found = readText(key, codec.allowed, presence);
        if (!found)
            return;
        if (auto parsed = codec.parse(*found))
            value = std::move(*parsed);
        else
            reject(key, quoteForMessage(*found), std::string(codec.allowed));
    }

    template <typename Function> void section(std::string_view key, Function&& describe)
    {
        const toml::table* table = findTable(key);
        SectionReader reader(m_context, table, pathOf(key));
        describe(reader);
        reader.finish();
    }

    template <typename T, typename Function>
    void sections(std::string_view key, std::vector<T>& items, size_t limit, Function&& describe)
    {
        std::vector<const toml::table*> tables = findTables(key, limit);
        items.reserve(items.size() + tables.size()); // configurations are kept; growth would leave unused space
        for (size_t i = 0; i < tables.size(); ++i) {
            SectionReader reader(m_context, tables[i], fmt::format("{}[{}]", pathOf(key), i));
            describe(reader, items.emplace_back());
            reader.finish();
        }
    }

    void finish();

private:
    std::string pathOf(std::string_view key) const;
    const toml::node* find(std::string_view key);
    const toml::node* findOrReportMissing(std::string_view key, std::string_view allowed, Presence);
    void reject(std::string_view key, std::string found, std::string allowed);
    void rejectType(std::string_view key, const toml::node&, std::string_view allowed);
    std::optional<std::string> readText(
        std::string_view key, std::string_view allowed, Presence, bool isSecret = false);
    std::optional<uint64_t> readInteger(std::string_view key, Bounds<uint64_t>, Presence);
    std::optional<uint64_t> readSize(std::string_view key, Bounds<uint64_t>);
    const toml::array* findArray(std::string_view key, std::string_view allowed, size_t limit);
    const toml::table* findTable(std::string_view key);
    std::vector<const toml::table*> findTables(std::string_view key, size_t limit);

    ReadContext& m_context;
    const toml::table* m_table; // null when the section is absent
    std::string m_path;
    std::set<std::string, std::less<>> m_knownKeys;
};

//-----------------------------------------------------------------------------
// [SECTION] Listing and printing
//-----------------------------------------------------------------------------

// One key as the documentation shows it.
struct KeyEntry {
    std::string section; // "" for top-level keys, "[service.detection]", "[[service]]"
    std::string key;
    std::string type;
    std::string value; // TOML text of the value; of a default-constructed object: the default
    std::string allowed;
    std::string description;
    bool isRequired = false;
};

// Lists the keys of an object with their present values, sections after the keys of their parent.
class SectionLister {
public:
    static constexpr bool isReading = false;

    SectionLister(std::vector<KeyEntry>& entries, std::string path, std::string heading)
        : m_entries(entries)
        , m_path(std::move(path))
        , m_heading(std::move(heading))
    {
    }

    void text(std::string_view key, const std::string& value, const TextRule&, Presence, std::string_view description);
    void flag(std::string_view key, bool value, std::string_view description);
    void real(std::string_view key, double value, Bounds<double>, std::string_view description);
    void duration(std::string_view key, Duration value, Bounds<Duration>, std::string_view description);
    void textList(std::string_view key, const std::vector<std::string>& value, const TextRule&, size_t limit,
        std::string_view description);
    void integerList(std::string_view key, const std::vector<uint16_t>& value, Bounds<uint64_t>, size_t limit,
        std::string_view description);
    void integer(std::string_view key, uint64_t value, Bounds<uint64_t>, Presence, std::string_view description);
    void size(std::string_view key, uint64_t value, Bounds<uint64_t>, std::string_view description);

    template <typename T>
    void coded(std::string_view key, const T& value, const TextCodec<T>& codec, Presence presence,
        std::string_view description)
    {
        add(key, codec.type, quote(codec.print(value)), std::string(codec.allowed), presence, description);
    }

    template <typename Function> void section(std::string_view key, Function&& describe)
    {
        std::string path = pathOf(key);
        SectionLister lister(m_entries, path, fmt::format("[{}]", path));
        describe(lister);
    }

    template <typename T, typename Function>
    void sections(std::string_view key, std::vector<T>& items, size_t, Function&& describe)
    {
        std::string path = pathOf(key);
        for (T& item : items) {
            SectionLister lister(m_entries, path, fmt::format("[[{}]]", path));
            describe(lister, item);
        }
    }

private:
    static std::string quote(std::string_view);
    std::string pathOf(std::string_view key) const;
    void add(std::string_view key, std::string_view type, std::string value, std::string allowed, Presence,
        std::string_view description);

    std::vector<KeyEntry>& m_entries;
    std::string m_path;
    std::string m_heading;
};

// TOML text of the listed keys.
std::string printToml(std::span<const KeyEntry>);

// The same with each key's meaning and range as comments; required keys, which have no default, are
// commented out.
std::string printCommentedToml(std::span<const KeyEntry>);

} // namespace Gooseberrymill
