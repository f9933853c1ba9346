/* SPDX-License-Identifier: BSD-3-Clause */
/* A members port that drops all messages, for tests of code that depends on a member table. */
#ifndef TEST_NULL_MEMBERS_H
#define TEST_NULL_MEMBERS_H

#include "bayhoist/members.h"

extern BH__MembersPort NullMembersPort;

void null_members_add(BH__Members *m, const BH__MemberInfo *info, uint64_t now_us);

#endif
