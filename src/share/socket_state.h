/* SPDX-License-Identifier: BSD-3-Clause */
/* What the kernel knows of a connection, and no read or write has told yet. */
#ifndef BAYHOIST_SHARE_SOCKET_STATE_H
#define BAYHOIST_SHARE_SOCKET_STATE_H

#include <event2/util.h>
#include <stdbool.h>

bool socket_has_failed(evutil_socket_t fd);
bool socket_has_unsent(evutil_socket_t fd);

#endif
