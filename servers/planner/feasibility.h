// Decides whether a job can ever run and, if not, why and which shape could. The results depend
// only on the environment document and the job.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include "servers/config/environment.h"
#include "servers/jobs/job.h"
#include "servers/planner/guarantee_split.h"

namespace turmericshift {

struct Refusal {
  std::string reason;
  // The nearest shape that can run; "" if no shape can.
  std::string nearest;

  std::string Text() const;
};

class Feasibility {
 public:
  explicit Feasibility(std::shared_ptr<const Environment> environment);

  // Returns none if the job can run in the zone under the current document. A zone that is out is
  // checked as if it were in.
  std::optional<Refusal> InZone(const std::string& zone, const JobSpec& spec) const;
  // Returns none if at least one zone that the job allows can run it, either now or once all zones
  // are in.
  std::optional<Refusal> Anywhere(const JobSpec& spec) const;
  // Accelerators of the guaranteed cells that the zone currently hosts for the workspace.
  int GuaranteedAccelerators(const std::string& zone, const std::string& workspace) const;
  // Accelerators that the workspace may currently use in the zone.
  int AcceleratorCap(const std::string& zone, const std::string& workspace) const {
    return split_.Share(zone, workspace).accelerator_cap;
  }

 private:
  std::optional<Refusal> Check(const std::string& zone, const JobSpec& spec,
                               const GuaranteeSplit& split) const;

  const std::shared_ptr<const Environment> environment_;
  const GuaranteeSplit split_;
  const GuaranteeSplit split_all_in_;
};

}  // namespace turmericshift
