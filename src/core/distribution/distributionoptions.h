#pragma once

#include "core/base/clock.h"
#include "core/base/finding.h"
#include "core/base/ids.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <string_view>
#include <vector>

namespace wisteriafork {

// Mechanisms that tests and experiments switch off one at a time, to show that the check which covers each can fail.
struct DistributionMechanisms
{
    bool versionOrder = true;
    bool hashCheck = true;
    // All needed slices are there before a version comes in force.
    bool wholeValues = true;
    bool askPeersAtStart = true;
    bool readerElection = true;
    bool validation = true;
    // Bounds on messages, bytes and reads.
    bool budgets = true;
    bool antiEntropy = true;
    // Of two contents with the same version the one with the greater hash wins.
    bool resolveConflicts = true;
    // A node without an index lets peers with a better rank read first.
    bool coldReadElection = true;
};

// What the distribution has to know of the content of slices; supplied by the configuration component.
struct SliceFunctions
{
    // Findings of a slice; `Severity::Error` holds it back. The service is `_common` for the common part. May be empty.
    std::function<std::vector<Finding>(const ServiceId &service, std::string_view text)> validate;
    // Services that the operations of this slice call; asked for the own service only. May be empty.
    std::function<std::vector<ServiceId>(std::string_view text)> calledServices;
};

struct DistributionOptions
{
    // Services needed in any case, beside the own one and those that it calls.
    std::vector<ServiceId> required;
    SliceFunctions slices;
    Duration digestInterval = std::chrono::seconds(1);
    std::size_t fanout = 4;
    // Changes of an index kept to answer pulls with a delta.
    std::size_t history = 64;
    // Time without an answer after which a value is asked for elsewhere.
    Duration pullTimeout = std::chrono::milliseconds(500);
    std::size_t pullsAtOnce = 8;
    // A starting node asks each peer up to this many times before it goes on without its answer.
    unsigned startAttempts = 6;
    Duration startAnswerTimeout = std::chrono::milliseconds(700);
    // Time after which a starting node that nobody answers goes on with what the service gives.
    Duration startPatience = std::chrono::seconds(5);
    // A node without seeds and peers reads the index after a random part of this time; one that has any waits longer, see `ColdRead`. Later
    // reads follow with exponential delays up to `maxReadDelay`.
    Duration blindReadWindow = std::chrono::seconds(2);
    Duration maxReadDelay = std::chrono::seconds(30);
    // A reader whose beacon has not grown for this time counts as gone.
    Duration beaconTimeout = std::chrono::seconds(30);
    // Least time between taking up and giving up reading, so that changing views cause few changes.
    Duration readerHold = std::chrono::seconds(5);
    // Messages and bytes that the node starts or answers with, per second and at once. The burst covers two values of the greatest size, 1
    // MB; a message that exceeds what is left may still go, and the next ones wait.
    double messagesPerSecond = 20;
    double messageBurst = 100;
    double bytesPerSecond = 16384;
    double byteBurst = 2097152;
    // Reads at the configuration service by this node.
    double readsPerSecond = 2;
    double readBurst = 8;
    DistributionMechanisms mechanisms;
};

} // namespace wisteriafork
