/* SPDX-License-Identifier: BSD-3-Clause */
/* The gateway's settings, read from a JSON file with comments and validated. */
#ifndef BAYHOIST_GATE_SETTINGS_H
#define BAYHOIST_GATE_SETTINGS_H

#include <glib.h>
#include <stdbool.h>
#include "bayhoist/types.h"

#define GATE_SECRET_LEN 128 /* size of a shared key, terminating NUL included */

typedef struct {
	char name[BH__NAME_LEN]; /* name of this node */
	char hall[BH__NAME_LEN]; /* data hall of this node */
	char region[BH__NAME_LEN];
	char caller_address[BH__ADDRESS_LEN];
	char readiness_address[BH__ADDRESS_LEN];
	char directory_address[BH__ADDRESS_LEN];
	char control_address[BH__ADDRESS_LEN];
	char peer_address[BH__ADDRESS_LEN];
	char peer_key[GATE_SECRET_LEN]; /* key that the nodes share; operators use it too */
	char **seeds;                   /* addresses of other nodes, with any of their ports; NULL-terminated */
	char store_address[BH__ADDRESS_LEN];
	char
		endpoint_source[BH__ADDRESS_LEN]; /* IP from which endpoints and nodes are connected to; empty: any */
	/* where this node listens for others if they reach it by another address; empty: at peer_address */
	char peer_listen_address[BH__ADDRESS_LEN];
	uint64_t max_connections;     /* maximum number of caller connections */
	uint64_t stop_grace_ms;       /* time within which a planned stop must end */
	uint64_t endpoint_drain_ms;   /* time after which a leaving endpoint receives no new requests */
	uint64_t hall_drain_ms;       /* time after which the last endpoints in a draining hall receive no
									 new requests; 0: none receive any */
	uint64_t configuration_ms;    /* time within which a new configuration takes effect */
	uint64_t key_trust_ms;        /* time that keys stay valid after a configuration read; 0: no limit */
	uint64_t memory_hold_max_ms;  /* maximum time that engines keep memory reserved */
	uint64_t directory_ttl_max_s; /* maximum time that callers cache a directory answer */
	double cores;                 /* processor cores of the VM that this node may use; 0: unknown */
	double store_reads_per_s;     /* read rate that the store sustains from all nodes together */
	uint64_t memory_mb;           /* memory of the VM that this node may use; 0: unknown */
	double link_mbps;             /* network bandwidth of the VM; 0: unknown */
	double repeat_share;          /* retry budget: dispatches beyond the first, as a share of requests */
	double repeat_extra;          /* additional retries allowed in a burst, over all nodes */
} GateSettings;

bool gate_settings_load(GateSettings *s, const char *path, GError **error);
void gate_settings_finish(GateSettings *s);

#endif
