#include "simnode.h"

#include "core/ownership/likelyowner.h"
#include "fleet.h"
#include "timing.h"

namespace wisteriafork::test {

namespace {

constexpr int TickMs = 100;
constexpr int MaximumHops = 2;

} // namespace

SimNode::SimNode(Fleet &fleet, int index, MemberInfo info, Duration clockOffset)
    : m_fleet(fleet), m_index(index), m_info(std::move(info)), m_clockOffset(clockOffset)
{
}

void SimNode::start(Incarnation incarnation)
{
    ++m_life;
    m_up = true;
    m_leaving = false;
    m_paused = false;
    m_pauseBeforeSend.reset();
    m_inbox.clear();
    m_pending.clear();
    m_calls.clear();
    m_answers.clear();
    m_info.incarnation = incarnation;
    m_clock.set(m_fleet.now() + m_clockOffset);
    m_ownership = std::make_unique<Ownership>(m_fleet.options(m_info), m_clock);
    m_ownerIncarnation = incarnation;
    m_copies = std::make_unique<OpenCopies>(m_clock);
    // A process reads the list before it serves.
    m_list = m_fleet.publishedList();
    handle(ServiceListRead{m_list});
    tick();
}

void SimNode::kill()
{
    m_up = false;
    ++m_life;
    m_inbox.clear();
    m_pending.clear();
}

void SimNode::stop()
{
    if (m_up && !m_leaving) {
        m_leaving = true;
        m_fleet.processLeaving(m_index);
        deliver([this] { handle(StopRequested{}); });
    }
}

void SimNode::rejoin()
{
    OwnershipOptions options = m_fleet.options(m_info);
    options.processIncarnation = m_info.incarnation;
    options.self.incarnation = m_fleet.nextIncarnation();
    m_ownerIncarnation = options.self.incarnation;
    m_ownership = std::make_unique<Ownership>(options, m_clock);
    handle(ServiceListRead{m_list});
}

void SimNode::pause(Duration duration)
{
    if (!m_up || m_paused) {
        return;
    }
    m_paused = true;
    m_fleet.after(duration, [this, life = m_life] {
        if (life == m_life) {
            resume();
        }
    });
}

void SimNode::pauseBeforeSend(Duration duration)
{
    m_pauseBeforeSend = duration;
}

bool SimNode::up() const
{
    return m_up;
}

bool SimNode::leaving() const
{
    return m_leaving;
}

const MemberInfo &SimNode::info() const
{
    return m_info;
}

Ownership &SimNode::ownership()
{
    return *m_ownership;
}

void SimNode::deliver(std::function<void()> work)
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

void SimNode::resume()
{
    m_paused = false;
    m_clock.set(m_fleet.now() + m_clockOffset);
    carryOut();
    while (!m_paused && m_up && !m_inbox.empty()) {
        const std::function<void()> work = std::move(m_inbox.front());
        m_inbox.pop_front();
        work();
    }
}

void SimNode::tick()
{
    m_fleet.after(ms(TickMs), [this, life = m_life] {
        if (life != m_life) {
            return;
        }
        deliver([this] {
            m_copies->tick();
            handle(OwnershipTick{});
        });
        tick();
    });
}

void SimNode::readList(const HostList &list)
{
    deliver([this, list] {
        if (list.version > m_list.version) {
            m_list = list;
        }
        handle(ServiceListRead{list});
    });
}

void SimNode::receive(const NodeId &from, const std::shared_ptr<const OwnershipMessage> &message)
{
    deliver([this, from, message] {
        if (const auto *check = std::get_if<CopyCheck>(message.get())) {
            const CopyChecked answer = m_copies->answer(*check);
            m_pending.emplace_back(SendOwnershipMessage{.to = check->owner, .peerAddress = {}, .message = answer});
            carryOut();
            return;
        }
        handle(OwnershipMessageReceived{.from = from, .message = *message});
    });
}

void SimNode::handle(const OwnershipInput &input)
{
    for (OwnershipOutput &output : m_ownership->handle(input)) {
        m_pending.push_back(std::move(output));
    }
    carryOut();
}

void SimNode::carryOut()
{
    while (!m_pending.empty() && !m_paused && m_up) {
        if (m_pauseBeforeSend && !std::holds_alternative<WaitForAttempt>(m_pending.front())) {
            const Duration duration = *m_pauseBeforeSend;
            m_pauseBeforeSend.reset();
            pause(duration);
            return;
        }
        const OwnershipOutput next = std::move(m_pending.front());
        m_pending.pop_front();
        std::visit([this](const auto &value) { output(value); }, next);
    }
}

void SimNode::clientCall(const RequestKey &key)
{
    deliver([this, key] {
        const CallId id = ++m_nextCall;
        const SimCall call{.key = key, .edge = m_index, .edgeCall = id, .hops = 0};
        m_copies->opened(id, key);
        const MemberInfo *owner
            = likelyOwner(key, m_list.members, [](const MemberInfo &member) { return member.state == ListedState::Leaving; });
        if (owner == nullptr || owner->name == m_info.name) {
            decide(id, call);
            return;
        }
        const int to = m_fleet.indexOf(owner->name);
        forward(to, call);
    });
}

void SimNode::forward(int to, const SimCall &call)
{
    m_fleet.call(m_index, to, [this, to, call] {
        SimCall next = call;
        if (m_fleet.node(to).up()) {
            m_fleet.node(to).forwardedCall(next);
        } else if (++next.hops <= MaximumHops) {
            // The connection is refused, and this node asks its own process for the owner.
            forwardedCall(next);
        }
    });
}

void SimNode::forwardedCall(const SimCall &call)
{
    deliver([this, call] { decide(++m_nextCall, call); });
}

void SimNode::decide(CallId id, const SimCall &call)
{
    m_calls[id] = call;
    const bool local = call.edge == m_index;
    handle(KeyedCall{.call = id,
                     .key = call.key,
                     .retention = ms(m_fleet.schedule().retentionMs),
                     .deadline = m_clock.now() + ms(CallerWaitMs),
                     .from = local ? NodeId() : m_fleet.node(call.edge).info().name,
                     .arrivedAt = local ? m_copies->arrivedAt(call.edgeCall).value_or(TimePoint{}) : TimePoint{}});
}

void SimNode::finish(CallId id, const SimOutcome &outcome)
{
    const auto found = m_calls.find(id);
    if (found == m_calls.end()) {
        return;
    }
    const SimCall call = found->second;
    m_calls.erase(found);
    m_fleet.call(m_index, call.edge, [this, call, outcome] { m_fleet.node(call.edge).edgeOutcome(call.edgeCall, outcome); });
    if (outcome.answer) {
        m_fleet.judge().answered(call.key, *outcome.answer, m_fleet.now());
    }
}

void SimNode::edgeOutcome(CallId edgeCall, const SimOutcome & /*outcome*/)
{
    deliver([this, edgeCall] { m_copies->closed(edgeCall); });
}

void SimNode::output(const RunKey &run)
{
    if (m_fleet.chance(m_fleet.schedule().notRun)) {
        m_fleet.after(m_fleet.upTo(30), [this, run, life = m_life] {
            if (life == m_life) {
                deliver([this, run] { handle(ExecutionNotRun{.key = run.key, .reason = RefusalReason::Overloaded}); });
            }
        });
        return;
    }
    execute(run);
}

void SimNode::execute(const RunKey &run)
{
    m_fleet.judge().ran(run.key, m_fleet.now(), m_info.name.value() + "#" + std::to_string(m_ownerIncarnation));
    const bool lost = m_fleet.chance(m_fleet.schedule().unknown);
    m_fleet.after(m_fleet.upTo(60), [this, run, lost, life = m_life] {
        if (life != m_life) {
            return;
        }
        deliver([this, run, lost] {
            if (lost) {
                handle(ExecutionUnknown{.key = run.key});
                return;
            }
            finish(run.call, {.answer = run.key, .refusal = std::nullopt});
            handle(ExecutionFinished{.key = run.key, .call = run.call, .answerBytes = 100});
        });
    });
}

void SimNode::output(const WaitForAttempt & /*wait*/)
{
}

void SimNode::output(const ReplayAnswer &replay)
{
    const bool stored = m_answers.contains(replay.key);
    finish(replay.call, {.answer = stored ? replay.key : RequestKey{}, .refusal = std::nullopt});
}

void SimNode::output(const RefuseCall &refuse)
{
    if (refuse.refusal.kind == RefusalKind::NotRun) {
        m_fleet.judge().refusedNotRun(refuse.key, m_fleet.now(), m_info.name.value() + "#" + std::to_string(m_ownerIncarnation));
    }
    finish(refuse.call, {.answer = std::nullopt, .refusal = refuse.refusal});
}

void SimNode::output(const RedirectCall &redirect)
{
    const auto found = m_calls.find(redirect.call);
    if (found == m_calls.end()) {
        return;
    }
    SimCall call = found->second;
    if (++call.hops > MaximumHops) {
        finish(redirect.call, {.answer = std::nullopt, .refusal = Refusal{.reason = RefusalReason::OwnerUnreachable}});
        return;
    }
    m_calls.erase(found);
    const int to = m_fleet.indexOf(redirect.to);
    forward(to, call);
}

void SimNode::output(const SendOwnershipMessage &send)
{
    const int to = m_fleet.indexOf(send.to);
    m_fleet.control(m_index, to, [this, to, from = m_info.name, message = std::make_shared<const OwnershipMessage>(send.message)] {
        m_fleet.node(to).receive(from, message);
    });
}

void SimNode::output(const KeepAnswer &keep)
{
    m_answers.insert(keep.key);
}

void SimNode::output(const DropAnswer &drop)
{
    m_answers.erase(drop.key);
}

void SimNode::output(const WakeOwnership &wake)
{
    m_fleet.after(wake.at - m_clock.now(), [this, life = m_life] {
        if (life == m_life) {
            deliver([this] { handle(OwnershipWake{}); });
        }
    });
}

void SimNode::output(const OwnershipReleased & /*released*/)
{
    kill();
    m_fleet.processEnded(m_index);
    m_fleet.after(m_fleet.upTo(400), [this, life = m_life] {
        if (life == m_life && !m_up) {
            m_fleet.restart(m_index);
        }
    });
}

void SimNode::output(const OwnershipExcluded & /*excluded*/)
{
    if (m_leaving) {
        output(OwnershipReleased{});
    } else if (m_fleet.schedule().rejoins) {
        m_fleet.after(ms(1), [this, life = m_life] {
            if (life == m_life) {
                deliver([this] { rejoin(); });
            }
        });
    }
}

} // namespace wisteriafork::test
