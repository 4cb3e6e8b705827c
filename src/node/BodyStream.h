// Streams the body of a request to libsoup while it still arrives.
#pragma once

#include "GlibHandles.h"

#include <functional>
#include <string>

namespace Gooseberrymill {

// Buffer whose writing side takes chunks and whose reading side is a GInputStream. The stream supports asynchronous
// reads only. Use from one thread.
class BodyStream {
public:
    BodyStream();

    GInputStream* stream() const { return m_stream.get(); }
    void push(std::string bytes);
    void finish(); // marks the body as complete; reads return its rest, then the end of the stream
    void abort(); // fails the pending read and every later one
    size_t bufferedBytes() const; // pushed and not yet read
    // Called whenever a read shrinks the buffer from above the low watermark to it or below it.
    void setLowWatermarkCallback(std::function<void()>);

private:
    ObjectHandle<GInputStream> m_stream;
};

} // namespace Gooseberrymill
