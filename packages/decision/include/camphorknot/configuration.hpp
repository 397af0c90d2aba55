/// @file
/// Configuration: the objects that operators steer with, their versions and the changes between them.
#pragma once

#include "camphorknot/configuration/distribution.hpp"
#include "camphorknot/configuration/objects.hpp"
#include "camphorknot/configuration/store.hpp"
