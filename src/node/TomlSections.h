// Reads, prints and documents TOML files. A file format is declared once, by a function that visits its keys in order.
// The visitors SectionReader and SectionLister use this declaration to read a file, to print it and to list its keys
// for the documentation, so the three cannot differ.
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

// One error in a file. toString() writes it as "file:line: key.path: found X; allowed: Y".
struct FileError {
    std::string file;
    uint32_t line = 0; // line number, counted from 1; 0: the error concerns the whole file
    std::string keyPath; // path of the key, such as "service[0].route[2].path"; empty for a syntax error
    std::string found; // what the file contains, for the error message
    std::string allowed; // what the file may contain instead, for the error message
    bool operator==(const FileError&) const = default;
};

std::string toString(const FileError&);

// Holds the value read from a file, or all errors found in it.
template <typename T> struct FileResult {
    std::optional<T> value;
    std::vector<FileError> errors;
};

//-----------------------------------------------------------------------------
// [SECTION] Conversion and validation of text
//-----------------------------------------------------------------------------

std::optional<Duration> parseDuration(std::string_view); // such as "250ms"; units us, ms, s, min, h, d
std::string printDuration(Duration); // uses the largest unit that represents the value exactly
std::optional<uint64_t> parseSize(std::string_view); // such as "64KiB", in bytes; units B, KiB, MiB, GiB
std::string printSize(uint64_t); // uses the largest unit that represents the number of bytes exactly

// Validation rule of a text value.
struct TextRule {
    std::string_view allowed; // description of valid values, for error messages and the documentation
    bool (*accepts)(std::string_view); // returns true if the value is valid
    bool isSecret = false; // true: error messages never contain the value
};

bool isName(std::string_view); // accepts 1 to 64 letters, digits, '.', '_' or '-', starting with a letter or digit
bool isPrintable(std::string_view); // accepts valid UTF-8 without control characters
bool isAddress(std::string_view); // accepts "ip:port" or "[ip]:port" with a port above 0

// Returns the text as error messages show it: quoted, on one line, and truncated if it is long.
std::string quoteForMessage(std::string_view);

extern const TextRule nameRule; // rule of isName()

// Converts between a value of type T and its text in the file.
template <typename T> struct TextCodec {
    std::string_view type; // name of the type in the documentation
    std::string_view allowed; // description of valid texts, for error messages and the documentation
    std::optional<T> (*parse)(std::string_view); // returns an empty optional if the text is invalid
    std::string (*print)(const T&);
};

// Range of valid values, both ends included.
template <typename T> struct Bounds {
    T min;
    T max;
};

// Whether a file must contain a key.
enum class Presence : uint8_t { Optional, Required };

//-----------------------------------------------------------------------------
// [SECTION] Reading
//-----------------------------------------------------------------------------

// Collects the errors and the line numbers of keys while one file is read.
class ReadContext {
public:
    explicit ReadContext(std::string file)
        : m_file(std::move(file))
    {
    }

    void recordLine(const std::string& keyPath, uint32_t line) { m_lines[keyPath] = line; }
    // Adds an error at the line of the key, and reportAt() one at the given line. Both mark the key as rejected.
    void report(const std::string& keyPath, std::string found, std::string allowed);
    void reportAt(uint32_t line, const std::string& keyPath, std::string found, std::string allowed);
    // Returns true if an error was reported for the key or for a key below it. Rules across keys skip such keys.
    bool isRejected(const std::string& keyPath) const;
    // Returns the line of the key, or else of the innermost enclosing section; 0 if neither is known.
    uint32_t lineOf(std::string keyPath) const;
    std::vector<FileError> takeErrors(); // returns the errors sorted by line and removes them from the context

private:
    std::string m_file;
    std::map<std::string, uint32_t> m_lines; // line numbers by key path
    std::set<std::string> m_rejected; // paths of the keys with an error
    std::vector<FileError> m_errors;
};

// Parses TOML text. If the text is too long or has a syntax error, reports this to the context and returns an empty
// optional.
std::optional<toml::table> parseToml(std::string_view text, ReadContext&);

// Visitor that reads the keys of one table. Each function assigns the value of `key` to its argument if the key is
// present and valid. Invalid keys and missing required keys are reported to the context and leave the argument as it
// is, except that a list keeps its valid elements. finish() reports the keys that no function was called for as
// unknown.
class SectionReader {
public:
    static constexpr bool isReading = true; // tells a format's function that values are assigned, not listed

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
        // Configurations stay in memory for long; without reserve() the vector would keep unused capacity.
        items.reserve(items.size() + tables.size());
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
    // Returns the key's node; null if there is none, which is reported as an error if the key is required.
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
    const toml::table* m_table; // null if the file does not contain the section
    std::string m_path; // key path of the table; empty for the top level
    std::set<std::string, std::less<>> m_knownKeys; // keys that a function was called for
};

//-----------------------------------------------------------------------------
// [SECTION] Listing and printing
//-----------------------------------------------------------------------------

// One key of a file format with its value, as printed and as shown in the documentation.
struct KeyEntry {
    std::string section; // heading of the table, such as "[service.detection]" or "[[service]]"; "" at the top level
    std::string key; // name of the key within its table
    std::string type; // name of the type in the documentation
    std::string value; // value as TOML text; the default if the listed object is default-constructed
    std::string allowed; // description of valid values
    std::string description; // what the key means
    bool isRequired = false; // true: the file must contain the key
};

// Visitor that appends the keys of an object to `entries`, with their current values. The keys of a section follow
// those of the table that contains it.
class SectionLister {
public:
    static constexpr bool isReading = false; // tells a format's function that values are listed, not assigned

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
    std::string m_path; // key path of the table; empty for the top level
    std::string m_heading; // heading of the table, see KeyEntry::section
};

// Returns the listed keys and their values as TOML text.
std::string printToml(std::span<const KeyEntry>);

// Like printToml(), with the description and valid values of each key as a comment before it. Required keys have no
// default, so they are commented out.
std::string printCommentedToml(std::span<const KeyEntry>);

} // namespace Gooseberrymill
