# Each file fuzz/NAME_fuzz.cpp is one stateful fuzz program.
find_package(rapidcheck REQUIRED)
add_library(fuzz_world STATIC ${CMAKE_SOURCE_DIR}/fuzz/world.cpp ${CMAKE_SOURCE_DIR}/fuzz/world_platform.cpp
            ${CMAKE_SOURCE_DIR}/fuzz/world_endpoints.cpp ${CMAKE_SOURCE_DIR}/fuzz/oracle.cpp)
target_include_directories(fuzz_world PUBLIC ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/fuzz)
target_link_libraries(fuzz_world PUBLIC plantainpoint_core)
file(GLOB FUZZ_MAINS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/fuzz/*_fuzz.cpp)
foreach(MAIN ${FUZZ_MAINS})
    get_filename_component(FILE_NAME ${MAIN} NAME_WE)
    string(REPLACE "_" "-" NAME ${FILE_NAME})
    add_executable(${NAME} ${MAIN})
    target_include_directories(${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/fuzz)
    target_link_libraries(${NAME} PRIVATE fuzz_world rapidcheck)
endforeach()

# The targets for the parsers of bytes from outside. The unit tests run them too.
# Those that hold messages of the users' platform stand with its tests.
file(GLOB BYTES_TARGETS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/fuzz/bytes/*targets.cpp ${CMAKE_SOURCE_DIR}/test/bytes/*targets.cpp)
add_library(bytes_targets STATIC EXCLUDE_FROM_ALL ${BYTES_TARGETS})
target_include_directories(bytes_targets PUBLIC ${CMAKE_SOURCE_DIR}/fuzz/bytes PRIVATE ${CMAKE_SOURCE_DIR}/src ${CMAKE_SOURCE_DIR}/test)
target_link_libraries(bytes_targets PUBLIC plantainpoint_platform)
if(PLANTAINPOINT_BYTES)
    add_executable(bytes-fuzz EXCLUDE_FROM_ALL ${CMAKE_SOURCE_DIR}/fuzz/bytes/fuzzer.cpp)
    target_link_libraries(bytes-fuzz PRIVATE bytes_targets)
    target_link_options(bytes-fuzz PRIVATE -fsanitize=fuzzer)
    add_executable(bytes-seeds EXCLUDE_FROM_ALL ${CMAKE_SOURCE_DIR}/fuzz/bytes/seeds.cpp)
    target_link_libraries(bytes-seeds PRIVATE bytes_targets)
    add_custom_target(fuzz-bytes DEPENDS bytes-fuzz bytes-seeds)
endif()

add_executable(fleet-capacity ${CMAKE_SOURCE_DIR}/fuzz/capacity.cpp)
target_link_libraries(fleet-capacity PRIVATE fuzz_world)
