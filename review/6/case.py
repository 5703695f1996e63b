"""An entry that is cut off for two seconds starts jobs whose clients have left, while the same
jobs run for the clients' second attempts at another entry."""

import asyncio, os, sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from fleet import *

WAIT = 1.5  # X-Deadline-Ms: the time budget of the sheet
RESEND = 1.3  # resend_ms
CUT = 2.0
WORK = 0.76  # desembolso: 4 tasks of 0.76 s
JOBS = 4


async def client(fleet, record, k, channel):
    """Sends a job over a channel that is open already, and again after no response."""
    name = "5c0e7a21d94b36f%x" % k
    body = job(4, estimate_ms=760)
    headers = [("x-deadline-ms", "%d" % (WAIT * 1000))]
    await asyncio.sleep(0.2 + 0.1 * k)
    record.note("%s  attempt 1 is sent to entry-1" % name)
    try:
        answer = await asyncio.wait_for(channel.call("POST", PREFIX + name, body, headers), WAIT)
        return record.note("%s  attempt 1 is answered: %r" % (name, answer))
    except asyncio.TimeoutError:
        record.note("%s  attempt 1 got no response; the client closes the channel" % name)
    channel.close()
    await asyncio.sleep(RESEND)
    record.note("%s  attempt 2 is sent to entry-2" % name)
    answer = await call(fleet.entries[1]["clients"], "POST", PREFIX + name, body, headers=headers)
    record.note("%s  attempt 2 is answered: %r" % (name, answer))


async def case(fleet, record, trouble):
    await fleet.start(entries=2, agents=3, work=WORK, cpu=16000, cuttable=[0])
    channels = [await Channel.open(fleet.entries[0]["clients"]) for _ in range(JOBS)]
    for channel in channels:
        await channel.call("GET", PREFIX)
    if trouble:
        fleet.cut(0)
        record.note("entry-1 is cut off")
    clients = [asyncio.ensure_future(client(fleet, record, k, c)) for k, c in enumerate(channels)]
    await asyncio.sleep(CUT)
    if trouble:
        fleet.heal(0)
        record.note("the cut has healed")
    await asyncio.gather(*clients)
    await asyncio.sleep(1)
    show = lambda r: "run %d on %s from %.3f s to %.3f s (%s)" % (r.number, r.executor, r.began, r.end or now(), r.how)
    return [
        "TWICE: two runs of %s at the same time: %s, %s" % (a.task, show(a), show(b))
        for a, b in overlaps(fleet.runs())
    ]


main(case)
