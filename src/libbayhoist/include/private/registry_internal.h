/* SPDX-License-Identifier: BSD-3-Clause */
/* What the modules of the registry share. */
#ifndef BAYHOIST_PRIVATE_REGISTRY_INTERNAL_H
#define BAYHOIST_PRIVATE_REGISTRY_INTERNAL_H

#include "bayhoist/registry.h"

#define BH__ERAS_KEPT                                                                                        \
	4 /* a store that goes back more often than that while entries still tell of before is not expected */

/* The store has gone back while this node ran. */
typedef struct {
	BH__StoreVersion start; /* first place of the new era that was seen: entries that were last written up to
						there are of before */
	uint64_t before;        /* era that this node knew before */
} BH__EraStart;

struct BH__Registry {
	GPtrArray *table; /* BH__RegisteredEndpoint */
	GHashTable *by_id;
	GRand *rand;
	uint64_t now_us;                 /* of the latest tick */
	uint64_t version;                /* grows with each change of what may be used */
	uint64_t lives;                  /* starts of endpoints that were seen */
	BH__StoreVersion store_version;  /* up to which all changes are known */
	BH__EraStart era[BH__ERAS_KEPT]; /* the latest first */
	unsigned era_count;
	BH__StoreVersion changed; /* with which the last change of what is believed was learnt */
	GHashTable *departed;     /* BH__EndpointDeparture by endpoint id */
	BH__StoreVersion
		floor; /* latest place as of which an endpoint was gone that is in neither table any more */
	BH__StoreVersion forgotten; /* latest place with which that had been learnt */
	GArray *halls;              /* BH__HallDrain */
	uint64_t halls_version;
};

BH__StoreVersion bh__registry_written(const BH__Registry *r, BH__StoreVersion p);

/* registry_halls.c */
void bh__registry_process_halls(BH__Registry *r, uint64_t now_us);

#endif
