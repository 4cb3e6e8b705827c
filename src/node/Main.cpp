// Entry point of the binary: picks the verb.
#include <fmt/format.h>

int main()
{
    fmt::print(stderr, "usage: gooseberrymill VERB\n");
    return 2;
}
