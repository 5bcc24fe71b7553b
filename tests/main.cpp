/** @file main.cpp The test program; --seed=N changes what seeded tests draw. */
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>
