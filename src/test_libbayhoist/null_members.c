/* SPDX-License-Identifier: BSD-3-Clause */
/* A members port that drops all messages. */
#include "null_members.h"

static void send_(BH__MembersPort *port, const char *address, BH__Message *m)
{
	(void)port;
	(void)address;
	(void)m;
}

static void changed_(BH__MembersPort *port, const BH__MemberInfo *info, BH__MemberState old)
{
	(void)port;
	(void)info;
	(void)old;
}

BH__MembersPort NullMembersPort = {.send = send_, .changed = changed_};

/* Adds a member to the table, as if a join from it had been received. */
void null_members_add(BH__Members *m, const BH__MemberInfo *info, uint64_t now_us)
{
	BH__Message join = {.type = BH__MESSAGE_JOIN};

	join.as.join.self = *info;
	bh__members_process_message(m, &join, now_us);
}
