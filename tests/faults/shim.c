/* An LD_PRELOAD library that makes system calls of a process fail at given rates and can step its wall clock.
 *
 * The file named by FAULT_FILE is shared with the test. It holds the failure rates in per mille (uint32) by kind at
 * offset 0, the number of injected failures by kind (uint32) at offset 256, and the step of the wall clock in
 * nanoseconds (int64) at offset 512. Opens fail only below FAULT_FOLDER. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* In the order of the enum Fault in tests/faults/shim.py. */
enum { LOG_WRITE, SOCKET, CONNECT, ACCEPT, BIND, SHORT_READ, READ_ERROR, SHORT_WRITE, WRITE_ERROR, INTERRUPT,
       DISK_SHORT, DISK_WRITE, DISK_SYNC, FILE_OPEN, RENAME, THREAD, SOCKET_OPTION, PEEK_ERROR, KINDS };

static volatile uint32_t *rate, *hits;
static volatile int64_t *wall_step_ns;
static const char *folder;
static __thread uint64_t state;

__attribute__((constructor)) static void begin(void) {
  const char *path = getenv("FAULT_FILE");
  int fd = path ? open(path, O_RDWR) : -1;
  folder = getenv("FAULT_FOLDER");
  if (fd < 0) return;
  void *shared = mmap(0, 4096, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  close(fd);
  if (shared == MAP_FAILED) return;
  rate = shared;
  hits = rate + 64;
  wall_step_ns = (int64_t *)((char *)shared + 512);
}

static uint64_t draw(void) {
  if (!state) state = 88172645463325252ull ^ ((uint64_t)getpid() << 20) ^ (uint64_t)(uintptr_t)&state;
  state ^= state << 13;
  state ^= state >> 7;
  state ^= state << 17;
  return state;
}

static int strikes(int kind) {
  if (!rate || !rate[kind] || draw() % 1000 >= rate[kind]) return 0;
  __sync_fetch_and_add(&hits[kind], 1);
  return 1;
}

static int fails(int kind, const int *errors, int count) {
  if (!strikes(kind)) return 0;
  errno = errors[(draw() >> 8) % count];
  return 1;
}

#define FAILS(kind, ...) ({ static const int errors_[] = {__VA_ARGS__}; \
                            fails(kind, errors_, (int)(sizeof errors_ / sizeof *errors_)); })
#define REAL(result, name, ...) static result (*real)(__VA_ARGS__); \
                                if (!real) real = (result (*)(__VA_ARGS__))dlsym(RTLD_NEXT, name)

static int is_kind(int fd, mode_t mode) {
  struct stat found;
  return fd >= 0 && !fstat(fd, &found) && (found.st_mode & S_IFMT) == mode;
}

int socket(int a, int b, int c) {
  REAL(int, "socket", int, int, int);
  return FAILS(SOCKET, ENFILE, EMFILE, ENOBUFS, ENOMEM) ? -1 : real(a, b, c);
}

int socketpair(int a, int b, int c, int pair[2]) {
  REAL(int, "socketpair", int, int, int, int *);
  return FAILS(SOCKET, ENFILE, EMFILE, ENOBUFS, ENOMEM) ? -1 : real(a, b, c, pair);
}

int epoll_create1(int flags) {
  REAL(int, "epoll_create1", int);
  return FAILS(SOCKET, ENFILE, EMFILE, ENOMEM) ? -1 : real(flags);
}

int connect(int fd, const struct sockaddr *to, socklen_t size) {
  REAL(int, "connect", int, const struct sockaddr *, socklen_t);
  return FAILS(CONNECT, EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT, ENOBUFS) ? -1 : real(fd, to, size);
}

int bind(int fd, const struct sockaddr *to, socklen_t size) {
  REAL(int, "bind", int, const struct sockaddr *, socklen_t);
  return FAILS(BIND, EADDRINUSE, ENOBUFS, ENOMEM) ? -1 : real(fd, to, size);
}

int listen(int fd, int backlog) {
  REAL(int, "listen", int, int);
  return FAILS(BIND, EADDRINUSE) ? -1 : real(fd, backlog);
}

#define ACCEPT_FAILS() FAILS(ACCEPT, ECONNABORTED, ENFILE, EMFILE, ENOBUFS, ENOMEM, EPROTO, EINTR, ENETDOWN, EPERM)
int accept(int fd, struct sockaddr *from, socklen_t *size) {
  REAL(int, "accept", int, struct sockaddr *, socklen_t *);
  return ACCEPT_FAILS() ? -1 : real(fd, from, size);
}

int accept4(int fd, struct sockaddr *from, socklen_t *size, int flags) {
  REAL(int, "accept4", int, struct sockaddr *, socklen_t *, int);
  return ACCEPT_FAILS() ? -1 : real(fd, from, size, flags);
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t size) {
  REAL(int, "setsockopt", int, int, int, const void *, socklen_t);
  return FAILS(SOCKET_OPTION, ENOBUFS, ENOMEM) ? -1 : real(fd, level, name, value, size);
}

/* Decides whether a read from a socket fails (returns 1), or shortens *size to a few bytes. */
static int read_strikes(int fd, size_t *size) {
  if (!rate || *size < 2 || !(rate[READ_ERROR] || rate[SHORT_READ]) || !is_kind(fd, S_IFSOCK)) return 0;
  if (FAILS(READ_ERROR, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENOMEM, EINTR)) return 1;
  if (strikes(SHORT_READ)) *size = 1 + *size % 7;
  return 0;
}

ssize_t read(int fd, void *to, size_t size) {
  REAL(ssize_t, "read", int, void *, size_t);
  return read_strikes(fd, &size) ? -1 : real(fd, to, size);
}

ssize_t recv(int fd, void *to, size_t size, int flags) {
  REAL(ssize_t, "recv", int, void *, size_t, int);
  if ((flags & MSG_PEEK) && FAILS(PEEK_ERROR, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ENOMEM, EINTR)) return -1;
  return read_strikes(fd, &size) ? -1 : real(fd, to, size, flags);
}

static int socket_write_strikes(size_t *size) {
  if (FAILS(WRITE_ERROR, ENOBUFS, ENOMEM, EINTR)) return 1;
  if (*size > 1 && strikes(SHORT_WRITE)) *size = 1 + *size / 3;
  return 0;
}

static int file_write_strikes(size_t *size) {
  if (FAILS(DISK_WRITE, ENOSPC, EIO, EDQUOT)) return 1;
  if (*size > 1 && strikes(DISK_SHORT)) *size /= 2;
  return 0;
}

static int write_strikes(int fd, size_t *size) {
  if (!rate || !*size) return 0;
  if (fd == 2) return FAILS(LOG_WRITE, ENOSPC, EIO, EPIPE, EAGAIN);
  if (rate[DISK_SHORT] || rate[DISK_WRITE]) if (is_kind(fd, S_IFREG)) return file_write_strikes(size);
  if (rate[SHORT_WRITE] || rate[WRITE_ERROR]) if (is_kind(fd, S_IFSOCK)) return socket_write_strikes(size);
  return 0;
}

ssize_t write(int fd, const void *from, size_t size) {
  REAL(ssize_t, "write", int, const void *, size_t);
  return write_strikes(fd, &size) ? -1 : real(fd, from, size);
}

ssize_t pwrite64(int fd, const void *from, size_t size, off64_t at) {
  REAL(ssize_t, "pwrite64", int, const void *, size_t, off64_t);
  return write_strikes(fd, &size) ? -1 : real(fd, from, size, at);
}

ssize_t send(int fd, const void *from, size_t size, int flags) {
  REAL(ssize_t, "send", int, const void *, size_t, int);
  return write_strikes(fd, &size) ? -1 : real(fd, from, size, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  REAL(ssize_t, "writev", int, const struct iovec *, int);
  size_t size = count > 0 ? parts[0].iov_len : 0, whole = size;
  if (write_strikes(fd, &size)) return -1;
  return size < whole ? write(fd, parts[0].iov_base, size) : real(fd, parts, count);
}

int fsync(int fd) {
  REAL(int, "fsync", int);
  return FAILS(DISK_SYNC, EIO, ENOSPC) ? -1 : real(fd);
}

int fdatasync(int fd) {
  REAL(int, "fdatasync", int);
  return FAILS(DISK_SYNC, EIO, ENOSPC) ? -1 : real(fd);
}

static int open_fails(const char *path) {
  return rate && rate[FILE_OPEN] && folder && strstr(path, folder) && FAILS(FILE_OPEN, ENFILE, EMFILE, EIO, ENOMEM);
}

#define OPEN(name) \
  int name(const char *path, int flags, ...) { \
    REAL(int, #name, const char *, int, ...); \
    va_list rest; \
    va_start(rest, flags); \
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; \
    va_end(rest); \
    return open_fails(path) ? -1 : real(path, flags, mode); \
  }
OPEN(open)
OPEN(open64)

#define OPENAT(name) \
  int name(int at, const char *path, int flags, ...) { \
    REAL(int, #name, int, const char *, int, ...); \
    va_list rest; \
    va_start(rest, flags); \
    mode_t mode = flags & (O_CREAT | O_TMPFILE) ? va_arg(rest, mode_t) : 0; \
    va_end(rest); \
    return open_fails(path) ? -1 : real(at, path, flags, mode); \
  }
OPENAT(openat)
OPENAT(openat64)

int rename(const char *from, const char *to) {
  REAL(int, "rename", const char *, const char *);
  return FAILS(RENAME, EIO, ENOSPC) ? -1 : real(from, to);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*run)(void *), void *with) {
  REAL(int, "pthread_create", pthread_t *, const pthread_attr_t *, void *(*)(void *), void *);
  return strikes(THREAD) ? EAGAIN : real(thread, attributes, run, with);
}

int epoll_wait(int fd, struct epoll_event *events, int most, int ms) {
  REAL(int, "epoll_wait", int, struct epoll_event *, int, int);
  return FAILS(INTERRUPT, EINTR) ? -1 : real(fd, events, most, ms);
}

int epoll_pwait(int fd, struct epoll_event *events, int most, int ms, const sigset_t *mask) {
  REAL(int, "epoll_pwait", int, struct epoll_event *, int, int, const sigset_t *);
  return FAILS(INTERRUPT, EINTR) ? -1 : real(fd, events, most, ms, mask);
}

int poll(struct pollfd *fds, nfds_t count, int ms) {
  REAL(int, "poll", struct pollfd *, nfds_t, int);
  return FAILS(INTERRUPT, EINTR) ? -1 : real(fds, count, ms);
}

static int64_t step_ns(void) { return wall_step_ns ? *wall_step_ns : 0; }

static void add_step(int64_t *seconds, int64_t *nanoseconds) {
  int64_t total = *nanoseconds + step_ns() % 1000000000;
  *seconds += step_ns() / 1000000000;
  if (total < 0) { total += 1000000000; *seconds -= 1; }
  if (total >= 1000000000) { total -= 1000000000; *seconds += 1; }
  *nanoseconds = total;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
  REAL(int, "clock_gettime", clockid_t, struct timespec *);
  int result = real(clock, now);
  if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    int64_t seconds = now->tv_sec, nanoseconds = now->tv_nsec;
    add_step(&seconds, &nanoseconds);
    now->tv_sec = seconds;
    now->tv_nsec = nanoseconds;
  }
  return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone) {
  struct timespec exact;
  (void)zone;
  int result = clock_gettime(CLOCK_REALTIME, &exact);
  now->tv_sec = exact.tv_sec;
  now->tv_usec = exact.tv_nsec / 1000;
  return result;
}

time_t time(time_t *to) {
  struct timespec now;
  clock_gettime(CLOCK_REALTIME, &now);
  if (to) *to = now.tv_sec;
  return now.tv_sec;
}
