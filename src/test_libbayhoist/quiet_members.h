/* SPDX-License-Identifier: BSD-3-Clause */
/* A members port that drops all messages, for tests of code that depends on a member table. */
#ifndef TEST_QUIET_MEMBERS_H
#define TEST_QUIET_MEMBERS_H

#include "bayhoist/members.h"

extern BH__MembersPort QuietMembersPort;

void quiet_members_add(BH__Members *m, const BH__MemberInfo *info, uint64_t now_us);

#endif
