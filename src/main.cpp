#include "cli/run_program.hpp"

int main(int argc, char** argv)
{
    return acaciastile::run_program(argc, argv);
}
