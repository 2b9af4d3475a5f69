#include "app/Commands.h"

int main(int count, char **arguments)
{
    return static_cast<int>(greengagestair::runCommandLine(count, arguments));
}
