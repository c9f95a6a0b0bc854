# Each file programs/NAME.cpp is one program plantainpoint-NAME.
file(GLOB PROGRAM_MAINS CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/programs/*.cpp)
foreach(MAIN ${PROGRAM_MAINS})
    get_filename_component(NAME ${MAIN} NAME_WE)
    add_executable(plantainpoint-${NAME} ${MAIN})
    target_include_directories(plantainpoint-${NAME} PRIVATE ${CMAKE_SOURCE_DIR}/src)
    target_link_libraries(plantainpoint-${NAME} PRIVATE plantainpoint_shell)
endforeach()
