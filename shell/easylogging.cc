// compiles the logging library's implementation once
#include <easylogging++.cc>
