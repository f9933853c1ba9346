/* SPDX-License-Identifier: BSD-3-Clause */
/* Nodes that know each other and send each other messages, encoded, on virtual time; what each sends is
 * counted. Membership takes its own messages; others go to whoever the test sets. */
#ifndef TEST_MEMBER_FLEET_H
#define TEST_MEMBER_FLEET_H

#include "bayhoist/members.h"

typedef struct MemberFleet MemberFleet;

typedef struct {
	BH__MembersPort port; /* first */
	MemberFleet *fleet;
	BH__Members *members;
	void *user; /* the test's own */
	uint64_t id;
	char address[BH__ADDRESS_LEN];
	bool silent;
	unsigned sent;
	uint64_t bytes;
	GHashTable *peers; /* indexes + 1 of the nodes that it has sent anything */
} MemberNode;

struct MemberFleet {
	MemberNode *node;
	unsigned count;
	void (*on_message)(MemberNode *n, const BH__Message *m); /* that membership does not take; NULL: none */
	GHashTable *by_address;                                  /* index + 1 */
	GQueue letters;
	uint64_t bytes;
	unsigned records; /* of members, in tables that nodes sent each other */
	unsigned tables;
	uint64_t type_bytes[BH__MESSAGE_TYPE_COUNT];
	uint64_t now_us;
};

BH__MemberInfo member_fleet_describe(unsigned i);
MemberFleet *member_fleet_new(unsigned count);
void member_fleet_delete(MemberFleet *f);
void member_fleet_send(MemberNode *n, uint64_t node_id, BH__Message *m);
void member_fleet_settle(MemberFleet *f);
void member_fleet_run(MemberFleet *f, unsigned ms);
void member_fleet_reset_counts(MemberFleet *f);
unsigned member_fleet_get_busiest(const MemberFleet *f);
uint64_t member_fleet_get_busiest_bytes(const MemberFleet *f);
unsigned member_fleet_get_total(const MemberFleet *f);

#endif
