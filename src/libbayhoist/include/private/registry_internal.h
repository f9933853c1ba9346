/* SPDX-License-Identifier: BSD-3-Clause */
/* Declarations shared by the modules of the registry. */
#ifndef BAYHOIST_PRIVATE_REGISTRY_INTERNAL_H
#define BAYHOIST_PRIVATE_REGISTRY_INTERNAL_H

#include "bayhoist/registry.h"

#define BH__ERAS_KEPT                                                                                        \
	4 /* number of store rollbacks that are tracked; more are not expected while entries written before the  \
		 first of them still exist */

/* A rollback of the store that this node observed. */
typedef struct {
	BH__StoreVersion start; /* first observed version of the new era: entries last written at or before its
						revision date from the previous era */
	uint64_t before;        /* era that this node knew before the rollback */
} BH__EraStart;

struct BH__Registry {
	GPtrArray *table; /* BH__RegisteredEndpoint, in order of arrival */
	GHashTable *by_id;
	GRand *rand;
	uint64_t now_us;                 /* time of the latest tick */
	unsigned node_count;             /* reachable nodes, with this one */
	uint64_t version;                /* incremented with each change of the set of usable endpoints */
	uint64_t incarnation_count;      /* number of endpoint incarnations observed */
	BH__StoreVersion store_version;  /* store version up to which all changes are merged */
	BH__EraStart era[BH__ERAS_KEPT]; /* latest first */
	unsigned era_count;
	BH__StoreVersion changed;              /* store version with which the last visible change was merged */
	GHashTable *departed;                  /* endpoint id -> BH__EndpointDeparture */
	BH__StoreVersion evicted_gone_version; /* latest store version as of which an endpoint was gone whose
											  departure has been evicted */
	BH__StoreVersion complete_from;        /* all changes merged after this store version can be listed */
	GArray *halls;                         /* BH__HallDrain */
	uint64_t halls_version;
	uint64_t endpoint_drain_us; /* see last_endpoints.c */
	uint64_t hall_drain_us;
	uint64_t entries_as_of_us; /* start of the latest platform read whose entries are merged; 0: none */
	uint64_t halls_as_of_us;   /* start of the latest platform read whose halls are merged; 0: none */
	bool is_era_known;
	uint64_t latest_era;         /* latest era in which something was read */
	uint64_t ages_known_from_us; /* reads begun earlier say nothing about when a change was written */
};

BH__StoreVersion bh__registry_get_written_version(const BH__Registry *r, BH__StoreVersion p);

/* last_endpoints.c */
void bh__last_endpoints_note_era(BH__Registry *r, uint64_t era);
uint64_t bh__last_endpoints_get_written_after_us(const BH__Registry *r, uint64_t as_of_us);

/* registry_halls.c */
void bh__registry_apply_hall(const BH__Registry *r, BH__RegisteredEndpoint *e);
void bh__registry_process_halls(BH__Registry *r, uint64_t now_us);

#endif
