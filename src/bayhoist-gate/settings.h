/* SPDX-License-Identifier: BSD-3-Clause */
/* The gateway's settings: JSON with comments, checked. */
#ifndef BAYHOIST_GATE_SETTINGS_H
#define BAYHOIST_GATE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include "bayhoist/types.h"

#define GATE_SECRET_LEN 128

typedef struct {
	char name[BH__NAME_LEN];
	char hall[BH__NAME_LEN];
	char region[BH__NAME_LEN];
	char caller_address[BH__ADDRESS_LEN];
	char readiness_address[BH__ADDRESS_LEN];
	char directory_address[BH__ADDRESS_LEN];
	char control_address[BH__ADDRESS_LEN];
	char peer_address[BH__ADDRESS_LEN];
	char peer_key[GATE_SECRET_LEN];
	char **seeds; /* addresses of other nodes, on any of their ports */
	char store_address[BH__ADDRESS_LEN];
	uint64_t max_connections;     /* of callers */
	uint64_t stop_grace_ms;       /* a stop is to be over by then */
	uint64_t endpoint_drain_ms;   /* an endpoint that leaves gets nothing new after this */
	uint64_t configuration_ms;    /* a configuration is in force after this */
	uint64_t key_trust_ms;        /* keys are believed for so long after a look; 0: for ever */
	uint64_t memory_hold_max_ms;  /* engines hold memory for no longer */
	uint64_t directory_ttl_max_s; /* callers hold an answer for no longer */
	double cores;                 /* of the VM's processor that are the node's; 0: not known */
	double store_reads_per_s;     /* that the store bears of all nodes together */
	uint64_t memory_mb;           /* of the VM that are the node's; 0: not known */
	double link_mbps;             /* of the VM's network; 0: not known */
	double repeat_share;          /* sendings beyond the first of each request, as a share of requests */
	double repeat_extra;          /* and besides, at once over all nodes */
} GateSettings;

bool gate_settings_load(GateSettings *s, const char *path, GError **error);
void gate_settings_finish(GateSettings *s);

#endif
