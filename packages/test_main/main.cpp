// Catch2's main is compiled once here, as it takes several seconds in each file that defines it.
#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>
