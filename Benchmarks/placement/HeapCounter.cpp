#include "HeapCounter.h"

#include <malloc.h>

namespace PlacementBenchmark {

std::size_t heapBytesInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace PlacementBenchmark
