/** @file easylogging.cpp The logging library's one source file, compiled as the package ships it. */
#include <easylogging++.cc> // NOLINT(bugprone-suspicious-include): the library is meant to be used so
