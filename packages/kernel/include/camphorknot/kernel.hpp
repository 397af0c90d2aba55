/// @file
/// Runtime services shared by all packages with I/O: clocks, metrics, the log and named services.
#pragma once

#include "camphorknot/kernel/clock.hpp"
#include "camphorknot/kernel/log.hpp"
#include "camphorknot/kernel/metrics.hpp"
#include "camphorknot/kernel/services.hpp"
