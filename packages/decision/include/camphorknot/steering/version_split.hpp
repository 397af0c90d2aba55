/// @file
/// Splits the requests of a service between the current version and one under rollout.
///
/// Counts the requests that targets have received, not the searches for a target: a request that waits for
/// room searches many times, and most often while the targets of the current version are full.
#pragma once

namespace camphorknot::steering {

/// Error diffusion over the requests of one service at one instance.
struct version_split {
    double credit = 0; ///< Requests that the next version may get; negative while it has got too many.
};

/// @param share fraction of the received requests for the next version, 0 to 1.
/// @return whether a request may go to the next version now.
bool is_next_version_due(const version_split& split, double share);

/// Takes the credit for a request that is sent to the next version.
void on_sent_to_next_version(version_split& split);

/// Adds the credit for a request that a target of either version has received.
void on_request_received(version_split& split, double share);

} // namespace camphorknot::steering
