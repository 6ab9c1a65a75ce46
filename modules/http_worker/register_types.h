#pragma once

namespace turmericshift {

// Adds the HTTP worker client to its registry.
void RegisterHttpWorkerTypes();

}  // namespace turmericshift
