/* SPDX-License-Identifier: BSD-3-Clause */
/* Looks whether an endpoint can be connected to, by this node and, if asked for, by a peer. */
#ifndef BAYHOIST_GATE_LINK_PROBE_H
#define BAYHOIST_GATE_LINK_PROBE_H

#include "bayhoist/crash_reports.h"
#include "gate.h"

typedef enum {
	LINK_PROBE_UNKNOWN, /* nobody looked, or the one that looked can't tell */
	LINK_PROBE_CONNECTED,
	LINK_PROBE_REFUSED, /* the connection was refused or broke off at once */
	LINK_PROBE_SILENT   /* no answer came */
} LinkProbeResult;

typedef struct LinkProbe LinkProbe;

typedef void (*LinkProbeDone)(void *ctx, uint64_t endpoint_id, LinkProbeResult own, LinkProbeResult peer);

LinkProbe *link_probe_new(Gate *g, uint64_t endpoint_id, const char *address, bool with_peer,
						  LinkProbeDone done, void *ctx);
void link_probe_delete(LinkProbe *p);
BH__CrashEvidence link_probe_weigh(const Gate *g, LinkProbeResult own, LinkProbeResult peer);

#endif
