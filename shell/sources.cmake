# The I/O library, with Asio, Beast, TLS, YAML settings, logging and JSON-RPC.
add_library(plantainpoint_logger STATIC ${CMAKE_SOURCE_DIR}/shell/easylogging.cc)
set_source_files_properties(${CMAKE_SOURCE_DIR}/shell/easylogging.cc PROPERTIES COMPILE_OPTIONS "-w")
target_compile_definitions(plantainpoint_logger PUBLIC ELPP_NO_DEFAULT_LOG_FILE)

# The client headers of the RPC library compile only up to C++14.
add_library(plantainpoint_rpc STATIC ${CMAKE_SOURCE_DIR}/shell/rpc_codec.cpp)
set_target_properties(plantainpoint_rpc PROPERTIES CXX_STANDARD 14)
target_compile_options(plantainpoint_rpc PRIVATE -Wno-deprecated)
target_link_libraries(plantainpoint_rpc PUBLIC jsonrpccpp-client jsonrpccpp-server jsonrpccpp-common jsoncpp)

file(GLOB SHELL_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/shell/*.cpp)
list(REMOVE_ITEM SHELL_SOURCES ${CMAKE_SOURCE_DIR}/shell/rpc_codec.cpp)
add_library(plantainpoint_shell STATIC ${SHELL_SOURCES})
target_include_directories(plantainpoint_shell PUBLIC ${CMAKE_SOURCE_DIR}/include ${CMAKE_SOURCE_DIR}/shell)
target_link_libraries(plantainpoint_shell PUBLIC plantainpoint_core plantainpoint_logger OpenSSL::SSL OpenSSL::Crypto yaml-cpp plantainpoint_rpc Threads::Threads)
target_precompile_headers(plantainpoint_shell PRIVATE <boost/asio.hpp> <boost/beast.hpp> <nlohmann/json.hpp> <string> <vector> <variant>)
# service_files.cpp validates the service files with the rules of the core, whose headers it needs.
set_source_files_properties(${CMAKE_SOURCE_DIR}/shell/service_files.cpp PROPERTIES INCLUDE_DIRECTORIES ${CMAKE_SOURCE_DIR}/src)
