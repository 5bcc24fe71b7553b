/** @file main.cpp The test program; seeds are fixed in the tests. */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
