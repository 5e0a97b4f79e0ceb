# Compares docs/CAPACITY.md with what the tool prints for the size file and the results, or writes it (WRITE).
execute_process(COMMAND ${TOOL} capacity --size ${ROOT}/deploy/size.textproto --results ${ROOT}/docs/capacity
                OUTPUT_VARIABLE page ERROR_VARIABLE fault RESULT_VARIABLE result)
if(NOT result EQUAL 0)
  message(FATAL_ERROR "the page cannot be worked out: ${fault}")
endif()
set(file ${ROOT}/docs/CAPACITY.md)
if(WRITE)
  file(WRITE ${file} "${page}")
  return()
endif()
# By bytes: file(READ) would take brackets and semicolons apart.
file(SHA256 ${file} current)
string(SHA256 wanted "${page}")
if(NOT current STREQUAL wanted)
  message(FATAL_ERROR "docs/CAPACITY.md is not what the size and the results come to: run make capacity")
endif()
