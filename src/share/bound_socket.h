/* SPDX-License-Identifier: BSD-3-Clause */
/* Sockets that connect from a chosen address. */
#ifndef BAYHOIST_SHARE_BOUND_SOCKET_H
#define BAYHOIST_SHARE_BOUND_SOCKET_H

#include <event2/util.h>

evutil_socket_t bound_socket_new(const char *source);

#endif
