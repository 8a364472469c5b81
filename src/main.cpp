#include <cstdio>

int main()
{
    std::puts("acaciastile");
    return 0;
}
