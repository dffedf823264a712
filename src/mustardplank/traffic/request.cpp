#include "request.hpp"

namespace mustardplank::traffic {

void
Request::interruptWith(Interrupt aReason)
{
  // A preempted request goes on, so any other reason replaces this one.
  if (interrupt != Interrupt::None && interrupt != Interrupt::Preempted) {
    return;
  }
  // The outcome of a non-idempotent request has to be learnt and stored, so it is not cut off.
  const bool mustFinish = once && sentToBackend && aReason != Interrupt::Stopping;
  if (mustFinish && aReason == Interrupt::Preempted) {
    return;
  }
  interrupt = aReason;
  if (!mustFinish && abortBackend) {
    abortBackend();
  }
  notify();
}

}
