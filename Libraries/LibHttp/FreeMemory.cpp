#include <LibHttp/FreeMemory.h>

#include <malloc.h>
#include <mimalloc.h>

// Only some of the programs are linked with mimalloc.
#pragma weak mi_collect

namespace Http {

void returnFreeMemory()
{
    if (&mi_collect != nullptr)
        mi_collect(true);
    else
        malloc_trim(0);
}

} // namespace Http
