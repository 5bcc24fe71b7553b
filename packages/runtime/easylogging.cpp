/** @file easylogging.cpp Compiles the only source file of easylogging++, unmodified. */
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include): the library is meant to be included this way
