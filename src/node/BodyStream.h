// A GInputStream that is fed with chunks: the body of a request while it still arrives.
#pragma once

#include "GlibHandles.h"

#include <functional>
#include <string>

namespace Gooseberrymill {

class BodyStream {
public:
    BodyStream();

    GInputStream* stream() const { return m_stream.get(); }
    void push(std::string bytes);
    void finish(); // the body is complete
    void abort(); // a pending and every later read fails
    size_t bufferedBytes() const;
    void setLowWatermarkCallback(std::function<void()>); // called when the buffer fell below the low mark

private:
    ObjectHandle<GInputStream> m_stream;
};

} // namespace Gooseberrymill
