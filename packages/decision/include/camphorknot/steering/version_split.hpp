/// @file
/// Splits the requests of a service between the current version and one under rollout.
///
/// Counts the requests that are sent, not the searches for a target: a request that waits for room searches
/// many times, and most often while the targets of the current version are full.
#pragma once

namespace camphorknot::steering {

/// Error diffusion over the requests of one service, or of one route, at one instance.
struct version_split {
    double credit = 0; ///< Requests that the next version may get; negative while it has got too many.
};

/// @param phase between 0 and 1, different at each instance: instances that start together would otherwise
/// all send to the next version at the same time.
/// @param share fraction of the requests for the next version, 0 to 1.
/// @return a split by which the first request goes to the next version if @p phase + @p share is at least 1.
version_split start_split(double phase, double share);

/// @param share fraction of the requests for the next version, 0 to 1.
/// @return whether a request may go to the next version now.
bool is_next_version_due(const version_split& split, double share);

/// Takes the credit for a request that is sent to the next version.
void on_sent_to_next_version(version_split& split);

/// Adds the credit for a request that is sent to a target of either version.
void on_request_sent(version_split& split, double share);

/// Takes back the credit of a request that its target has not received.
void on_request_returned(version_split& split, double share);

} // namespace camphorknot::steering
