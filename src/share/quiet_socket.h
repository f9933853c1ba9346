/* SPDX-License-Identifier: BSD-3-Clause */
/* Listening sockets that are closed without a reset of connections that were accepted by the kernel only. */
#ifndef BAYHOIST_SHARE_QUIET_SOCKET_H
#define BAYHOIST_SHARE_QUIET_SOCKET_H

#include <event2/util.h>

void quiet_socket_refuse_new(evutil_socket_t fd);
evutil_socket_t quiet_socket_accept(evutil_socket_t fd);

#endif
