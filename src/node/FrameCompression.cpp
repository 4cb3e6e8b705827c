#include "FrameCompression.h"

#include "GlibHandles.h"

#include <algorithm>
#include <gio/gio.h>

namespace Gooseberrymill {

namespace {

constexpr int fastestLevel = 1; // the messages mostly repeat names, so a higher level saves little
constexpr size_t initialBufferBytes = 16 << 10;

// Runs the whole input through a converter. Returns nullopt on an error, and when the output would exceed
// `maxOutputBytes`.
std::optional<std::string> convert(GConverter* converter, std::string_view input, size_t maxOutputBytes)
{
    std::string output(std::min(maxOutputBytes, std::max(initialBufferBytes, input.size())), '\0');
    size_t written = 0;
    while (true) {
        if (written == maxOutputBytes)
            return std::nullopt;
        if (written == output.size())
            output.resize(std::min(maxOutputBytes, 2 * output.size()));
        gsize consumed = 0;
        gsize produced = 0;
        GError* error = nullptr;
        GConverterResult result = g_converter_convert(converter, input.data(), input.size(), output.data() + written,
            output.size() - written, G_CONVERTER_INPUT_AT_END, &consumed, &produced, &error);
        g_clear_error(&error);
        input.remove_prefix(consumed);
        written += produced;
        if (result == G_CONVERTER_FINISHED)
            break;
        if (result == G_CONVERTER_ERROR || (!consumed && !produced))
            return std::nullopt;
    }
    if (!input.empty())
        return std::nullopt;
    output.resize(written);
    return output;
}

} // namespace

std::optional<std::string> deflate(std::string_view bytes)
{
    ObjectHandle<GZlibCompressor> compressor(g_zlib_compressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW, fastestLevel));
    return bytes.empty() ? std::nullopt : convert(G_CONVERTER(compressor.get()), bytes, bytes.size() - 1);
}

std::optional<std::string> inflate(std::string_view bytes, size_t maxOutputBytes)
{
    ObjectHandle<GZlibDecompressor> decompressor(g_zlib_decompressor_new(G_ZLIB_COMPRESSOR_FORMAT_RAW));
    return convert(G_CONVERTER(decompressor.get()), bytes, maxOutputBytes + 1);
}

} // namespace Gooseberrymill
