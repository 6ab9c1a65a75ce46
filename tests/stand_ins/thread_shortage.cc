#include "tests/stand_ins/thread_shortage.h"

#include <cerrno>

namespace turmericshift {

int ThreadShortage::Start(const std::string& name, pthread_t* handle,
                          const pthread_attr_t* attributes, void* (*run)(void*), void* argument) {
  if ((name_.empty() || name == name_) && allowed_.fetch_sub(1) <= 0) {
    refusals_.fetch_add(1);
    return EAGAIN;
  }
  return ThreadStarter::Start(name, handle, attributes, run, argument);
}

}  // namespace turmericshift
