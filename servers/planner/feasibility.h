// Whether a job can ever run, and if not, why and what could. Pure in the document and the job.
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
  // The nearest shape that can run; "" if there is none.
  std::string nearest;

  std::string Text() const;
};

class Feasibility {
 public:
  explicit Feasibility(std::shared_ptr<const Environment> environment);

  // None if the job can run in the zone under the present document, whether or not it is in.
  std::optional<Refusal> InZone(const std::string& zone, const JobSpec& spec) const;
  // None if some zone that the job allows can run it, now or when every zone is back in.
  std::optional<Refusal> Anywhere(const JobSpec& spec) const;
  // Of the cells that the zone hosts for the workspace at present.
  int GuaranteedAccelerators(const std::string& zone, const std::string& workspace) const;
  // Of the workspace in the zone at present.
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
