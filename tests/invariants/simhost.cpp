#include "invariants/simhost.h"

#include "core/base/hashing.h"
#include "invariants/simfleet.h"
#include "invariants/timing.h"

#include <algorithm>
#include <array>
#include <utility>

namespace wisteriafork::test {

namespace {

constexpr Duration TickInterval = ms(100);

} // namespace

SimHost::SimHost(SimFleet &fleet, std::size_t index, MemberInfo info, Duration clockOffset)
    : m_fleet(fleet), m_index(index), m_info(std::move(info)), m_clockOffset(clockOffset), m_server(fleet, *this)
{
}

void SimHost::start()
{
    ++m_life;
    m_up = true;
    m_paused = false;
    m_drained = false;
    m_leavingSince.reset();
    m_pauseBeforeSend.reset();
    m_held.clear();
    m_inbox.clear();
    m_calls.clear();
    m_stored.clear();
    m_watches.clear();
    m_bookingRefused.reset();
    m_version = 0;
    ++m_info.incarnation;
    m_clock.set(m_fleet.now() + m_clockOffset);
    m_core = std::make_unique<NodeCore>(m_fleet.nodeOptions(m_info), m_clock);
    disturb(m_fleet.now());
    tick();
}

void SimHost::kill(bool withServer)
{
    if (!m_up) {
        return;
    }
    m_up = false;
    ++m_life;
    m_inbox.clear();
    m_held.clear();
    if (withServer) {
        m_server.lose();
    }
    for (auto &[id, call] : std::exchange(m_calls, {})) {
        if (!call.closed) {
            call.reply({});
        }
    }
}

void SimHost::drain()
{
    if (m_up && !m_leavingSince) {
        m_leavingSince = m_fleet.now();
        handle(DrainRequested{});
    }
}

void SimHost::pause(Duration duration)
{
    if (!m_up || m_paused) {
        return;
    }
    m_paused = true;
    disturb(m_fleet.now() + duration);
    m_fleet.after(duration, [this, life = m_life] {
        if (life == m_life) {
            resume();
        }
    });
}

void SimHost::pauseBeforeSend(Duration duration)
{
    m_pauseBeforeSend = duration;
}

void SimHost::deliver(std::function<void()> work)
{
    if (!m_up) {
        return;
    }
    if (m_paused) {
        m_inbox.push_back(std::move(work));
        return;
    }
    m_clock.set(m_fleet.now() + m_clockOffset);
    work();
}

void SimHost::resume()
{
    m_paused = false;
    m_clock.set(m_fleet.now() + m_clockOffset);
    perform(std::exchange(m_held, {}));
    while (!m_paused && m_up && !m_inbox.empty()) {
        const std::function<void()> work = std::move(m_inbox.front());
        m_inbox.pop_front();
        work();
    }
}

void SimHost::tick()
{
    m_fleet.after(TickInterval, [this, life = m_life] {
        if (life == m_life) {
            poll();
            handle(Tick{});
            tick();
        }
    });
}

void SimHost::poll()
{
    for (auto &[key, after] : m_watches) {
        const std::optional<SimPlatform::Value> value = m_fleet.readPlatform(m_index, key);
        if (value && value->version > after) {
            after = value->version;
            handle(PlatformValueRead{.key = key, .value = *value->text});
        }
    }
}

void SimHost::handle(const Event &event)
{
    deliver([this, event] {
        std::vector<Action> actions = m_core->handle(event);
        const bool sends = std::any_of(actions.begin(), actions.end(), [](const Action &action) {
            return !std::holds_alternative<RecordDecision>(action) && !std::holds_alternative<RecordNotice>(action);
        });
        if (m_pauseBeforeSend && sends) {
            const Duration length = *std::exchange(m_pauseBeforeSend, std::nullopt);
            m_held = std::move(actions);
            pause(length);
            return;
        }
        perform(actions);
        checkVersion();
    });
}

void SimHost::checkVersion()
{
    const Configuration *current = m_core->configuration();
    const std::uint64_t version = current == nullptr ? 0 : current->version;
    if (version < m_version) {
        m_fleet.judge().violated(8, m_fleet.now(),
                                 m_info.name.value() + " went back from " + std::to_string(m_version) + " to " + std::to_string(version));
    }
    m_version = version;
}

CallDescription SimHost::describe(const Body &body, const std::string &requestId, Duration wait) const
{
    const std::array<std::string_view, 3> parts{body.service, body.operation, body.identity};
    return {.requestId = requestId,
            .service = ServiceId(body.service),
            .operation = OperationId(body.operation),
            .callClass = body.booking ? CallClass::Critical : CallClass::Read,
            .idempotent = !body.booking,
            .tenant = TenantId("default"),
            .callerHash = hash64(body.identity),
            .requestHash = hash64(body.identity, 1),
            .key = hashParts(parts),
            .fingerprint = hashParts(parts),
            .deadline = m_fleet.now() + m_clockOffset + wait,
            .attemptsLeft = 1};
}

CallId SimHost::arrive(const Body &body, CallDescription call, const NodeId &from, ForwardMode mode, Reply reply)
{
    call.id = m_nextCall++;
    m_calls.emplace(call.id, Call{.body = body, .description = call, .from = from, .reply = std::move(reply), .arrived = m_fleet.now()});
    deliver([this, call, from, mode] {
        m_calls.at(call.id).known = true;
        handle(CallArrived{.call = call, .from = from, .mode = mode, .traceId = {}});
    });
    return call.id;
}

void SimHost::arriveFromServer(const Body &body, const std::string &requestId, Reply reply)
{
    if (!m_up) {
        m_fleet.after(ms(1), [reply] { reply({}); });
        return;
    }
    CallDescription call = describe(body, requestId, ms(CallerWaitMs));
    call.origin = CallOrigin::LocalService;
    call.internal = true;
    arrive(body, call, {}, ForwardMode::Serve, std::move(reply));
}

void SimHost::senderGone(int life, CallId id)
{
    const auto found = m_calls.find(id);
    if (life == m_life && found != m_calls.end() && !found->second.closed) {
        found->second.closed = true;
        handle(CallerGone{.id = id});
    }
}

bool SimHost::up() const
{
    return m_up;
}

bool SimHost::draining() const
{
    return m_leavingSince.has_value();
}

bool SimHost::mayExit() const
{
    return m_drained && std::all_of(m_calls.begin(), m_calls.end(), [](const auto &entry) { return entry.second.closed; });
}

int SimHost::life() const
{
    return m_life;
}

const MemberInfo &SimHost::info() const
{
    return m_info;
}

SimServer &SimHost::server()
{
    return m_server;
}

const NodeCore &SimHost::core() const
{
    return *m_core;
}

TimePoint SimHost::steadySince() const
{
    return m_steadySince;
}

void SimHost::disturb(TimePoint until)
{
    m_steadySince = std::max(m_steadySince, until);
}

} // namespace wisteriafork::test
