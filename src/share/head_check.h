/* SPDX-License-Identifier: BSD-3-Clause */
/* Checks the heads of answers that evhttp reads, which lets more pass than bayhoist/http_head.h: blanks in
 * names, folded lines, and any number as a status. */
#ifndef BAYHOIST_SHARE_HEAD_CHECK_H
#define BAYHOIST_SHARE_HEAD_CHECK_H

#include <event2/http.h>

typedef struct HeadCheck HeadCheck;

HeadCheck *head_check_new(struct evhttp_connection *conn);
void head_check_restart(HeadCheck *c);
const char *head_check_get_fault(const HeadCheck *c);
void head_check_delete(HeadCheck *c);

#endif
