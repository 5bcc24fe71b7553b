/** @file main.cpp Entry point of the test program. Tests use fixed random seeds. */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
