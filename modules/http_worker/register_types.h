#pragma once

namespace turmericshift {

// Registers the HTTP worker client.
void RegisterHttpWorkerTypes();

}  // namespace turmericshift
