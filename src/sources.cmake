# The decision core. It does no I/O and starts no threads.
file(GLOB CORE_SOURCES CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/src/*.cpp)
add_library(plantainpoint_core STATIC ${CORE_SOURCES})
target_include_directories(plantainpoint_core PUBLIC ${CMAKE_SOURCE_DIR}/include PRIVATE ${CMAKE_SOURCE_DIR}/src)
target_link_libraries(plantainpoint_core PUBLIC absl::status absl::statusor absl::strings nlohmann_json::nlohmann_json Boost::headers PRIVATE OpenSSL::Crypto)
