"""Every decision of the gateway. Settings, events and actions are the types of `policy/interface.py`.
Times are ms, quotas units. Same events, same actions: the clock is the host's, chance is the seed's."""

from __future__ import annotations

import math
import random

from . import slow_start
from .actions import (
    Action,
    CancelAttempt,
    FailRequest,
    RejectReason,
    RejectRequest,
    SendGossip,
    SetTimer,
    StartAttempt,
    WatchEndpoints,
)
from .events import (
    AttemptEnded,
    ClientDisconnected,
    EndpointUpdate,
    Event,
    GossipReceived,
    QuotaLeaseGranted,
    RequestReceived,
    ResponseStarted,
    TimerFired,
)
from .gossip_codec import NUMBERS, SILENT, Line, code_of, decode, encode, room, server_tag, share_of, tag_of
from .settings import Plan, RequestClass, Settings
from .state import Attempt, Bucket, Customer, Decayed, Job, Memory, Server

ALPHA = 0.9  # weight of the newest measured cost in a customer's k (paper, Figure 8)
MARGIN = 4  # ticks before its patience ends at which a request is answered at the latest
AMPLE = 8.0  # slots a server that all gateways together start with (the paper's pool is 10 a core)
CHANCE = 0.75  # of which each has 1 / instances to this power: the less it sees, the more that varies
FEW = 3.0  # slots a server that all gateways together keep at least, so that no jam idles the back end
TARGET = 0.35  # mean answer time over aim above which the slot bound shrinks, below which it grows
STRETCH = 2.2  # the same, over the best mean of late: holding more overdrives servers and serves no more
PATIENT = 0.3  # part of the aim that a request may wait for a slot: more only delays what others wait for
SHRINK = 0.9  # factor on the slots in use for a refusal or slow answers, once in a mean answer time
RETRY_LEFT = 0.5  # part of the aim that a client's repeat has left: its first try spent the rest
MAIL_PART = 0.95  # part of a peer's message intake that those who write to it most use: unused, words wait
WRITERS = 3  # peers that write to one at full pace; of hundreds most have little to tell
OVERDUE = 2.0  # mean waits for a keeper's word after which the next one is asked, or none
SILENCE = 1000.0  # ms for which a keeper that owes its word is not asked again
STALE = 2.0  # the others' use that a keeper told counts this many times while its word ages, for bursts
CROWD_MS = 10_000.0  # for which a keeper's word holds that a store is spent and far more is asked of it
HOME_MAIL = 0.25  # part of a peer's message intake that one customer's words to it may take
STIR = 0.25  # part of the rate that others may use though none was told
ALIKE = 0.25  # part of a customer's gateways that may decide alike before they hear of each other
ALONE = 0.75  # chance that a gateway with no peer to ask lets a new customer in: more is beyond the quota
HOME_PART = 0.7  # part of a ceiling's rate that the home grants from; even slices share the rest
CERTAIN = 3.0  # words of peers and answers that it owes, together, that eject a server on hearsay
SUSPECT = 6.0  # unanswered waiting, in mean answer times summed over a server's attempts, that ejects it
REST = 5.0  # a server's mean answer time over the best mean of late that earns it a rest
SMOOTH = 0.1  # EWMA weight for answer times and server speed
DRAW = 4  # servers over gateways, times this, are compared, two at least, drawn at random: no herd, less CPU
FAR = 1.1  # load factor of a server in another zone: decides between near equals only


class Gateway(Memory):
    """One gateway. `handle` takes an event and returns the actions to carry out, in order."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__()
        self.set, self.now, self.random = settings, now, random.Random(seed)
        self.plans, self.margin = sorted(settings.plans), MARGIN * max(settings.tick, 1.0)
        self.classes = tuple(settings.classes.values())
        self.mean = {name: cls.latency_objective / 8 for name, cls in settings.classes.items()}
        self.answer = sum(self.mean.values()) / len(self.mean)  # mean answer time over all classes
        self.pace = self.best = TARGET / STRETCH  # mean answer time over aim, and its lowest of late
        self.bound = self.ample = AMPLE / settings.gateway_count**CHANCE
        span = max(
            settings.slow_start_duration / 4, 1000.0
        )  # of answers: a warm server's, those heard of a ready one
        self.warm, self.alive = Decayed(span, 0.0, now), Decayed(span, 0.0, now)
        self.shares = [0.5] * len(self.plans)  # part of a plan's asks that keepers granted of late
        pace = (
            MAIL_PART * settings.gossip_intake_per_s / 1000
        )  # messages a ms: all send no more than all take in
        self.gap = min(settings.gateway_count - 1, WRITERS) / pace
        self.post = Bucket(pace, 250 * pace, 250 * pace, now)
        self.word_ms = min(self.mean.values()) / 3  # mean time until a keeper's word is here

    def start(self) -> list[Action]:
        return [WatchEndpoints()] if self.set.poll_discovery else []

    def handle(self, now: float, event: Event) -> list[Action]:
        self.now, self.actions = now, []
        match event:
            case RequestReceived():
                self.arrive(event)
            case AttemptEnded():
                self.outcome(event)
            case TimerFired() if now > self.wake - 0.01:  # the host's clock may round
                self.wake = math.inf
            case GossipReceived():
                self.listen(event)
            case EndpointUpdate():
                self.discover(event)
            case ClientDisconnected(ref) if ref in self.jobs:
                self.close(self.jobs[ref])
            case QuotaLeaseGranted(name, plan, number, units, until):
                self.record(tag_of(name), self.plans.index(plan)).lease(number, units, until, now)
            case ResponseStarted(ref) if ref in self.jobs:
                self.jobs[ref].streaming = True
        self.look()
        self.pump()
        if self.alarms and self.alarms[0][0] < self.wake:  # an idle gateway sleeps
            self.wake = self.alarms[0][0]
            self.actions.append(SetTimer(self.wake, 0))
        return self.actions

    def look(self) -> None:
        """Do what is due; at every event, for late timers. A request unsent at its first alarm is refused."""
        for what, key in self.due(self.now):
            job = self.jobs.get(key) if what in ("sent", "due", "ask") else None
            if job and what == "ask" and not job.granted:
                self.overdue(job)
            elif job and ((what == "due" and not job.streaming) or (what == "sent" and not job.attempts)):
                self.finish(job)
            elif what == "mail":
                lines, most, self.spoke[key] = (
                    self.mail.pop(key),
                    room(self.set.gossip_message_bytes),
                    self.now,
                )
                self.post.level -= 1
                fresh = self.answers if self.now - self.measured < self.answer else ()
                self.actions.append(SendGossip(key, encode(self.pace, lines[:most], fresh)))
                self.tell(key, *lines[most:])
            elif what == "server" and key in self.servers:
                self.watch(self.servers[key], again=True)
            elif what == "discovery":
                self.actions.append(WatchEndpoints())

    # Arrival

    def arrive(self, event: RequestReceived) -> None:
        customer, cls = self.customer(event), self.set.classes[event.request_class]
        aim_at = self.now + min(
            cls.latency_objective * (RETRY_LEFT if event.is_retry else 1.0), event.remaining_time
        )
        job = Job(
            event.request_id,
            cls,
            customer,
            event.units,
            aim_at,
            self.now + event.remaining_time - self.margin,
        )
        hopeless = event.remaining_time < max(2 * self.margin, self.expect(cls) / 2)
        dear = (
            cls.priority_weight
            / self.mean[cls.name]
            / max(c.priority_weight / self.mean[c.name] for c in self.classes)
        )
        if hopeless or self.delay(customer) > PATIENT * dear * (aim_at - self.now):  # the cheapest wait least
            self.refuse(
                event.request_id,
                cls.latency_objective / 4,
                RejectReason.TIME_TOO_SHORT if hopeless else RejectReason.QUEUE_TOO_LONG,
            )
        else:
            self.jobs[event.request_id], customer.open = job, customer.open + 1
            # Unsent after half its patience, it would cost more than one refused before.
            job.send_by = min(
                aim_at - 1.5 * self.expect(cls), self.now + event.remaining_time / 2 - self.margin
            )
            self.remind(job.send_by, "sent", event.request_id)
            self.remind(job.due, "due", event.request_id)
            self.admit(job)

    def expect(self, cls: RequestClass) -> float:
        return min(
            self.mean[cls.name], cls.latency_objective / 2
        )  # else a jam would shut the door on its own cure

    def delay(self, customer: Customer) -> float:
        """Time until a slot for one more request of this customer, with rounds fair among those that wait."""
        ahead = min(self.queued, (len(customer.queue) + 1) * max(1, len(self.ring)))
        return ahead * self.answer / self.slots()[1] if ahead else 0.0

    def refuse(self, ref: int, wait: float, why: RejectReason) -> None:
        advice = min(self.set.max_retry_after, max(wait, self.margin)) if self.set.allow_retry_after else 0.0
        self.actions.append(RejectRequest(ref, advice, why))
        if ref in self.jobs:
            self.close(self.jobs[ref])

    # Quota and its keepers

    def customer(self, event: RequestReceived) -> Customer:
        """Its record. Home and deputy, of its set, keep its store for this one; or a slice alone."""
        c = self.record(tag_of(event.customer), self.plans.index(event.plan))
        if not c.keepers:
            n = c.spread = min(max(event.gateway_set_size, 1), self.set.gateway_count)
            ring = [(event.gateway_set_offset + (c.tag + k) % n) % self.set.gateway_count for k in range(n)]
            parts = self.homes(c.plan)
            homes = [ring[k * n // parts] for k in range(parts)]
            part = (
                homes.index(self.set.gateway_index)
                if self.set.gateway_index in homes
                else (self.set.gateway_index + c.tag) % parts
            )
            deputy = ring[(part * n // parts + (n // 2 | 1)) % n]  # of a ceiling none: two might pass it
            c.keepers = (homes[part], homes[part], homes[part] if c.plan.ceiling_rate else deputy)
            most = max(c.plan.burst / n, self.set.max_request_units)  # a slice covers one request at least
            full = self.random.random() * most < max(
                c.plan.burst / n, (not self.set.gossip_enabled) * ALONE * most
            )
            c.slice = Bucket(c.store.rate * parts / n, most, most * full, self.now)
            if c.keepers[0] != self.set.gateway_index:
                c.ceiling = c.ceiling.part((1 / HOME_PART - 1) / n, 1 / n)
        return c

    def homes(self, plan: Plan) -> int:
        """Gateways that keep a part each of a store: it takes two words a quarter of a largest request."""
        words = 8 * plan.rate / self.set.max_request_units / (HOME_MAIL * self.set.gossip_intake_per_s)
        few = min(plan.burst / (2 * self.set.max_request_units), (self.set.gateway_count - 1) / WRITERS)
        return (
            max(1, min(math.ceil(words), int(few)))
            if self.set.gossip_enabled and not plan.ceiling_rate
            else 1
        )

    def record(self, tag: int, code: int) -> Customer:
        if tag not in self.customers:
            self.forget(self.now)  # only whom time has given a full store: that refills nothing
            plan = self.set.plans[self.plans[code]]
            self.customers[tag] = c = Customer.new(tag, plan, code, self.now, self.answer, self.homes(plan))
            # A ceiling is dealt out to home and slices for good, empty at every start: no restart passes it.
            c.ceiling = Bucket(HOME_PART * plan.ceiling_rate / 1000, plan.ceiling_burst / 2, 0.0, self.now)
        return self.customers[tag]

    def admit(self, job: Job) -> None:
        """Grant or refuse where this view of the store is sound, else ask home and deputy; then the slice."""
        c, plan, units = job.customer, job.customer.plan, job.units
        while job.asks < len(c.keepers) and self.silent(c.keepers[job.asks]):
            job.asks += 1
        asks, leased = job.asks, c.leased(self.now)
        keeper = c.keepers[asks] if asks < len(c.keepers) else self.set.gateway_index
        alone = leased is not None or not self.set.gossip_enabled or keeper == self.set.gateway_index
        mute = not alone and keeper not in self.mail and self.post.fill(self.now) < 1  # its words are spent
        view, ceiling = c.store.fill(self.now), c.ceiling.fill(self.now) if plan.ceiling_rate else math.inf
        view, alone = leased if leased is not None else view, alone or mute
        if (
            alone
            and leased is None
            and c.keepers[0] != self.set.gateway_index
            and (mute or not self.likely(c))
        ):
            view = min(view, c.slice.fill(self.now))  # the store never holds more than a view: a lack is sure
        lack = max(units - view if plan.rate else 0.0, units - ceiling if alone else 0.0)
        thin = self.thinned(c)
        if not (alone or asks) and self.random.random() * 2**thin > 1:
            lack = units  # most would ask its keeper in vain, and drown it
        use = STALE * c.use.value / c.use.span + STIR * c.store.rate  # by the others since the last word
        age, alike = self.now - c.told_at + self.gap, max(1.0, ALIKE * c.spread)  # as if all let in one each
        sure = alone or units <= min((view - use * age) / alike, ceiling)
        if lack > 0 or 0 < plan.max_open_requests < c.open * max(1, min(c.spread, plan.max_open_requests)):
            self.refuse(job.ref, lack / c.store.rate if plan.rate else c.k, RejectReason.OVER_QUOTA)
        elif sure or not plan.rate:
            self.charge(c, units)
            c.slice.level, c.ceiling.level = c.slice.level - units * alone, c.ceiling.level - units
            self.grant(job)
        else:
            self.asking[number := job.ref % NUMBERS] = job
            if keeper == c.keepers[0]:
                self.keep_some(self.asked, number, units)
            code = c.code + thin * len(self.plans)
            self.tell(keeper, Line("ask", c.tag, number, units, view / c.store.burst, code))
            job.asks, job.asked_at = asks + 1, self.now
            self.owing.setdefault(keeper, self.now)
            self.remind(min(self.now + OVERDUE * self.word_ms, job.send_by - 1), "ask", job.ref)

    def thinned(self, c: Customer) -> int:
        """One in 2 to this power of a customer's requests asks its keeper: once to twice its rate."""
        asked = max(1.0, c.crowd) if self.now - c.told_at < CROWD_MS else 1.0
        return min(int(math.log2(asked)), 63 // len(self.plans) - 1, 5)

    def likely(self, c: Customer) -> bool:
        """No keeper answers: would one have granted it? By that, many let in as much as before."""
        share = 0.5**thin if (thin := self.thinned(c)) else self.shares[c.code]
        return self.set.gossip_enabled and self.random.random() < share

    def overdue(self, job: Job) -> None:
        """A keeper's word has not come: ask the next one, or decide alone if no time is left for it."""
        if self.now + OVERDUE * self.word_ms > job.send_by:
            job.asks = len(job.customer.keepers)
        self.admit(job)

    def silent(self, keeper: int) -> bool:
        """Has it owed a word for longer than one takes? It is asked again now and then."""
        since = self.now - self.owing.get(keeper, self.now)
        if since > SILENCE:
            del self.owing[keeper]
        return 2 * OVERDUE * self.word_ms < since <= SILENCE

    def grant(self, job: Job) -> None:
        c, job.granted, self.queued = job.customer, True, self.queued + 1
        c.queue.append(job)
        if not c.active:
            self.ring.append(c)
        c.active = True

    def charge(self, c: Customer, units: float) -> None:  # take units (below 0: give back) and tell its home
        if c.spend(self.now, units):
            return
        c.store.level = c.store.fill(self.now) - units
        if not c.keepers or c.keepers[0] == self.set.gateway_index:
            c.use.add(self.now, units)
        elif self.set.gossip_enabled and c.plan.rate and units:
            kind = "note" if c.spread <= WRITERS + 1 else "used"  # where each word comes alone: no answer,
            if kind == "used" and abs(units) < (coarse := self.set.max_request_units / 4):  # sums by chance
                units = math.copysign(coarse * (self.random.random() * coarse < abs(units)), units)
            if units:
                self.tell(c.keepers[0], Line(kind, c.tag, 0, units, c.store.level / c.store.burst, c.code))

    def listen(self, event: GossipReceived) -> None:
        if (report := decode(event.data)) is None or not 0 <= event.sender < self.set.gateway_count:
            return
        self.owing.pop(event.sender, None)
        for tag, pace in report.words:
            if pace < SILENT:  # few answers here, many at all gateways: theirs count, not what they recall
                self.pace += SMOOTH / 2 * (pace - self.pace)
            if (server := self.by_tag.get(tag)) is not None and pace < SILENT:
                server.barred = 0.0 if server.fails else server.barred
                self.lives(server)  # a peer has had its answer
            elif server and self.doubt(server, event.sender) and self.may_bar(server):
                self.eject(server, own=False)
        for line in report.lines:
            if line.kind in ("ask", "note", "used"):
                self.keep(event.sender, line)
            elif (c := self.customers.get(line.tag)) and c.keepers and c.keepers[0] != self.set.gateway_index:
                self.told(c, line, event.sender == c.keepers[0])

    def keep(self, peer: int, line: Line) -> None:  # as keeper: take use, grant what the store holds, tell it
        code, weight = line.code % len(self.plans), 1 << min(5, line.code // len(self.plans))
        c, kind = self.record(line.tag, code), "level"
        level, burst = c.store.fill(self.now), max(c.store.burst, 1.0)
        if line.kind != "ask":  # what passes a spent store is beyond the quota and takes nothing
            level = max(level - line.units, min(level, 0.0))
            c.use.add(self.now, line.units)
        c.store.level = level = min(level, line.left * burst)  # after a restart members know better
        if line.kind == "ask":
            enough = line.units <= min(level, c.ceiling.fill(self.now) if c.plan.ceiling_rate else math.inf)
            known = (peer, line.tag, line.number) in self.replied  # it asks again: its grant was lost
            kind = "granted" if enough or known else "denied"
            if enough and not known:
                self.keep_some(self.replied, (peer, line.tag, line.number), line.units)
                c.store.level, c.ceiling.level = level - line.units, c.ceiling.level - line.units
            if not known:
                c.use.add(self.now, line.units * weight)  # what is asked for, granted or not
        if line.kind != "used":
            use = code_of(c.use.add(self.now) / burst)
            self.tell(peer, Line(kind, c.tag, line.number, 0.0, max(0.0, c.store.level) / burst, use))

    def told(self, c: Customer, line: Line, home: bool) -> None:
        """A keeper's word: its view is newer, and a request that waited for it is let in or refused."""
        if home:
            c.store.level, c.store.at, c.told_at = line.left * c.store.burst, self.now, self.now
            c.use.value = share_of(line.code) * c.store.burst
            spent = c.store.level < self.set.max_request_units and c.store.rate
            c.crowd = c.use.value / c.use.span / c.store.rate if spent else 0.0
        job = self.asking.pop(line.number, None) if line.kind != "level" else None
        asked = self.asked.pop(line.number, 0.0) if home and line.kind != "level" else 0.0
        if job is not None and job.customer is c and job.ref in self.jobs and not job.granted:
            self.word_ms += SMOOTH * (self.now - job.asked_at - self.word_ms)
            self.shares[c.code] += SMOOTH * ((line.kind == "granted") - self.shares[c.code])
            if line.kind == "granted":
                if not home:
                    self.charge(c, job.units)
                self.grant(job)
            else:
                self.refuse(
                    job.ref, max(0.0, job.units - c.store.level) / c.store.rate, RejectReason.OVER_QUOTA
                )
        elif asked and line.kind == "granted":  # too late: decided without it, so the home has it back
            self.charge(c, -asked)

    # Rounds

    def slots(self) -> tuple[int, float]:
        """Slots in use and in all. Ejected servers count in neither: a hung attempt keeps no slot shut."""
        usable = [s for s in self.ready if s.barred <= self.now]
        return sum(len(s.out) for s in usable), max(1.0, self.bound * sum(self.ramp(s) for s in usable))

    def pump(self) -> None:
        """Release what slots allow: further attempts first, then deficit rounds over waiting customers."""
        for _ in range(len(self.again)):
            job = self.again.popleft()
            if job.ref in self.jobs and job.again and not self.send(job):
                over = self.permits(job)[0] is None and all(a.status is not None for a in job.attempts)
                (self.finish if over else self.again.append)(job)  # its window may end while it waits
        while self.ring or self.visited:
            if self.visited is None:
                if self.left <= 0:
                    self.left, self.quantum, self.excess = len(self.ring), self.excess, 0.0
                self.visited = self.ring.popleft()
                self.visited.s -= self.quantum + 1
            customer = self.visited
            while customer.s < 0 and customer.queue:
                job = customer.queue[0]
                if job.ref in self.jobs:
                    if not self.send(job):
                        return
                    customer.s += customer.k
                customer.queue.popleft()
                self.queued -= 1
            if customer.queue:
                self.ring.append(customer)
            else:
                customer.s, customer.active = 0.0, False
            self.excess, self.visited, self.left = max(self.excess, customer.s), None, self.left - 1

    def send(self, job: Job) -> bool:
        used, slots = self.slots()
        if used >= slots or (server := self.choose(job)) is None:
            return False
        server.out[job.ref, len(job.attempts)] = self.now
        self.actions.append(
            StartAttempt(job.ref, server.entry.endpoint, send_before=job.window_end() - self.margin)
        )
        job.attempts, job.again = [*job.attempts, Attempt(server, self.now)], False
        if self.ramp(server) < 1:
            server.allowance.level -= 1
        self.watch(server)
        return True

    # Server choice

    def ramp(self, server: Server) -> float:
        return slow_start.capacity(server, self.set, self.now)

    def load(self, server: Server) -> float:
        far = self.random.uniform(0.95, 1.05) * (FAR if server.entry.zone != self.set.zone else 1.0)
        doubt = 1 + server.waiting(self.now) / self.answer
        return (len(server.out) + 1) * max(server.pace, self.best) * doubt * far

    def choose(self, job: Job) -> Server | None:
        """Least outstanding against estimated capacity, among those the request may go to."""
        if (group := self.permits(job)[0]) is None:
            return None
        pool = [
            s
            for s in self.ready
            if (not s.since or slow_start.may_send(s, self.set, self.now, self.warm.rate(self.now)))
            and all(getattr(s.entry, name) == value for name, value in group)
        ]
        fresh = [s for s in pool if all(a.server is not s for a in job.attempts)]
        # An ejected server whose time is up gets one attempt at a time until it answers.
        sound = [s for s in fresh if s.barred <= self.now and not (s.fails and s.out)]
        last = sound or fresh or pool  # never ejecting everything
        last = [s for s in last if self.ramp(s) < 1] or last  # a cold one's allowance is for use at once
        most = max(2, DRAW * len(last) // self.set.gateway_count)
        return min(self.random.sample(last, min(most, len(last))), key=self.load, default=None)

    # Outcome

    def permits(self, job: Job) -> tuple[tuple[tuple[str, object], ...] | None, bool]:
        """The one place for rule 2: where this may be sent now (None: nowhere), and may it be refused."""
        risky = job.risky()
        sendable = len(job.attempts) < self.set.max_attempts and not job.streaming
        sendable = sendable and (self.set.allow_hedging or all(a.status is not None for a in job.attempts))
        if not risky or job.cls.effect == "safe":
            return (() if sendable else None), True
        if job.cls.effect == "unsafe":
            return None, False
        name = job.cls.retry_scope
        sendable = sendable and self.now < job.window_end() - self.margin
        group = () if name == "all" else tuple((name, getattr(a.server.entry, name)) for a in risky)
        return (group if sendable else None), name == "all"

    def outcome(self, event: AttemptEnded) -> None:
        server, job = self.servers[event.endpoint], self.jobs.get(event.request_id)
        server.out.pop((event.request_id, event.attempt), None)
        self.judge(server, event)
        if job is None:
            return
        job.attempts[event.attempt].status = event.status
        if event.status == "ok":
            self.measure(job, event, server)
            if event.cost and self.set.cost_known_after:
                self.charge(job.customer, event.cost - job.units)
        if event.request_completed:
            self.close(job)
        elif not job.again and all(a.status is not None for a in job.attempts):
            useful = job.due if job.cls.late_priority_weight else job.aim_at
            if self.permits(job)[0] is not None and self.now + self.expect(job.cls) < useful:
                self.resend(job)
            else:
                self.finish(job)

    def measure(self, job: Job, event: AttemptEnded, server: Server) -> None:
        pace, customer, self.measured = event.latency / job.cls.latency_objective, job.customer, self.now
        customer.k = ALPHA * event.latency + (1 - ALPHA) * customer.k
        self.mean[job.cls.name] += SMOOTH * (event.latency - self.mean[job.cls.name])
        self.answer += SMOOTH * (event.latency - self.answer)
        self.pace += SMOOTH * (pace - self.pace)
        self.best = min(self.best * (1 + SMOOTH / 300), self.pace)
        server.pace += SMOOTH * (pace - server.pace)
        if self.ramp(server) >= 1:
            self.warm.add(self.now, 1 / max(1, sum(self.ramp(s) >= 1 for s in self.ready)))
        self.answers = [*self.answers[-1:], (server_tag(event.endpoint), pace)]
        if server.pace > max(TARGET, REST * self.best) and self.may_bar(server):
            # Driven too hard, a server may stay slow until it has drained: it rests for one answer time.
            server.barred, server.pace = self.now + event.latency, self.best
        if self.pace > min(TARGET, STRETCH * self.best):
            self.shrink()
        else:
            step = max(self.bound, self.ample / 3) * 2 / AMPLE  # by what it holds: some meet most requests
            self.bound = min(3 * self.ample, self.bound + step / self.slots()[1])

    def may_bar(self, server: Server) -> bool:  # on slowness or hearsay, half of the fleet at most
        barred = [s for s in self.ready if s.barred > self.now]
        return server not in barred and 2 * len(barred) < len(self.ready)

    def shrink(self) -> None:  # from the slots in use: an ample bound binds at the first slow answers
        if self.now - self.shrunk > self.answer:
            (used, slots), self.shrunk = self.slots(), self.now
            self.bound = max(FEW / self.set.gateway_count, min(1.0, (used + 1) / slots) * self.bound * SHRINK)

    def finish(self, job: Job) -> None:  # the final answer to a request that will not be served
        if self.permits(job)[1]:
            why = (
                RejectReason.ATTEMPTS_FAILED
                if job.attempts
                else RejectReason.NO_SLOT
                if job.granted
                else RejectReason.NO_QUOTA_REPLY
            )
            self.refuse(job.ref, job.cls.latency_objective / 4, why)
        else:
            self.actions.append(FailRequest(job.ref))
            self.close(job)

    def close(self, job: Job) -> None:
        if self.set.can_cancel:
            self.actions.extend(
                CancelAttempt(job.ref, n) for n, a in enumerate(job.attempts) if a.status is None
            )
        if job.granted and not job.attempts:  # never sent on: it used nothing
            self.charge(job.customer, -job.units)
        job.customer.open -= 1
        if self.asking.get(job.ref % NUMBERS) is job:  # whom no keeper answered
            del self.asking[job.ref % NUMBERS]
        del self.jobs[job.ref]

    # Health

    def lives(self, server: Server) -> None:
        server.answered, server.fails = self.now, 0
        server.doubts.clear()
        self.alive.add(self.now, 1 / max(1, len(self.ready)))

    def doubt(self, server: Server, teller: int) -> bool:
        """Is a peer's word enough? One slow try makes one, and of many gateways some always have one."""
        quiet = self.now - server.answered
        server.doubts.add(teller)
        sure = len(server.doubts) + quiet * self.alive.rate(self.now)  # + answers owed
        return quiet > SUSPECT / 2 * self.answer and sure >= min(CERTAIN, self.set.gateway_count - 1)

    def judge(self, server: Server, event: AttemptEnded) -> None:
        if event.status in ("ok", "error", "full"):
            server.broken = 0
            if server.fails:
                server.barred = 0.0
                self.say(server, server.pace)
            self.lives(server)
        elif event.status in ("unreachable", "reset"):
            # One connection may break though its server lives; where that dies, others break or are refused.
            server.broken += 1
            if server.broken > 1:
                self.eject(server)
        if event.status == "full":
            server.barred = self.now + self.answer  # nothing new until its queue had time to shrink
            self.shrink()

    def watch(self, server: Server, again: bool = False) -> None:
        """A silent server is found by unanswered waiting; looked at when that may have come to its limit."""
        left = SUSPECT * self.answer - server.waiting(self.now)
        server.watched = server.watched and not again
        if left <= 0:
            self.eject(server)
        elif server.out and not server.watched:
            server.watched = True
            self.remind(self.now + left / len(server.out) + 1, "server", server.entry.endpoint)

    def eject(self, server: Server, own: bool = True) -> None:
        """Leave it alone, and tell every peer, or each would pay to find out; all try again as few would."""
        if server.barred <= self.now:
            # Where one meets it seldom anyway, the others' tries are spread already.
            spread = self.set.gateway_count * self.random.random() / 4 * self.set.overload_crash_after
            spread -= 1 / max(self.warm.rate(self.now), 1e-9)
            rest = max(2.0 ** min(server.fails, 4) * self.set.overload_crash_after / 2, spread)
            server.barred, server.fails = self.now + rest, server.fails + 1
            self.move(server)
            if own:
                self.say(server, SILENT)

    def move(self, server: Server) -> None:
        for ref, number in list(server.out):
            job = self.jobs.get(ref)
            if job is None or job.again or job.cls.effect == "unsafe" or self.now > job.aim_at:
                continue
            if self.set.allow_hedging and not job.hedged:
                job.hedged = self.resend(job)
            elif not self.set.allow_hedging and self.set.can_cancel and len(job.attempts) < 3:
                self.actions.append(CancelAttempt(ref, number))

    def say(self, server: Server, pace: float) -> None:
        if self.set.gossip_enabled and self.now - self.said >= self.gap * (self.set.gateway_count - 1):
            self.said = self.now
            self.actions.append(
                SendGossip(-1, encode(self.pace, (), [(server_tag(server.entry.endpoint), pace)]))
            )

    # Discovery

    def discover(self, event: EndpointUpdate) -> None:
        if event.kind == "error":
            return self.remind(self.now + self.set.discovery_poll_within / 4, "discovery", 0)
        for entry in self.merge(event):  # those that are new or have started anew
            first = Bucket(0.0, 1.0, self.random.random(), self.now)
            since = entry.up_since(self.now)
            self.put(Server(entry, since, self.now, self.best, first, started=entry.started))
        self.ready = [s for s in self.servers.values() if s.entry.state == "ready"]
        for gone in [s for s in self.servers.values() if s.entry.state == "gone" and s.out]:
            self.move(gone)
        self.forget_servers()
