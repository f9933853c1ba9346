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
	uint64_t version;                /* incremented with each change of the set of usable endpoints */
	uint64_t incarnation_count;      /* number of endpoint incarnations observed */
	BH__StoreVersion store_version;  /* store version up to which all changes are merged */
	BH__EraStart era[BH__ERAS_KEPT]; /* latest first */
	unsigned era_count;
	BH__StoreVersion changed;                /* store version with which the last visible change was merged */
	GHashTable *departed;                    /* endpoint id -> BH__EndpointDeparture */
	BH__StoreVersion evicted_gone_version;   /* latest store version as of which an endpoint was gone whose
												departure has been evicted */
	BH__StoreVersion evicted_merged_version; /* latest store version of a merge of an evicted departure */
	GArray *halls;                           /* BH__HallDrain */
	uint64_t halls_version;
};

BH__StoreVersion bh__registry_get_written_version(const BH__Registry *r, BH__StoreVersion p);

/* registry_halls.c */
void bh__registry_process_halls(BH__Registry *r, uint64_t now_us);

#endif
