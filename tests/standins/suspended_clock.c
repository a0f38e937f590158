/* SPDX-License-Identifier: MIT
 *
 * A steady clock that leaves out the time for which a test has suspended this process.
 *
 * Loaded ahead of the C library by LD_PRELOAD, so that the interpreter, its event loop and ZeroMQ
 * all see it. The file named by FOLDLOOM_SUSPENDED holds how long the process has been suspended in
 * all, in nanoseconds; the test adds to it while the process is stopped by a signal. The time of day
 * goes on, and CLOCK_BOOTTIME as on a machine that was suspended, unless FOLDLOOM_BOOT_CLOCK_STOPS
 * is set: then it stops too, as that of a guest that its host has paused.
 */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <pthread.h>
#include <semaphore.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_S 1000000000LL
/* An absolute time below this many seconds is one of the steady clock: the time of day is above. */
#define TIME_OF_DAY_MIN_S 1000000000LL

static const volatile int64_t *suspended_ns;
static int boot_clock_stops;
static int (*next_gettime)(clockid_t, struct timespec *);
static int (*next_cond_wait)(pthread_cond_t *, pthread_mutex_t *, const struct timespec *);
static int (*next_cond_clockwait)(pthread_cond_t *, pthread_mutex_t *, clockid_t,
                                  const struct timespec *);
static int (*next_sem_clockwait)(sem_t *, clockid_t, const struct timespec *);

__attribute__((constructor)) static void find_next(void) {
    next_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    next_cond_wait = dlsym(RTLD_NEXT, "pthread_cond_timedwait");
    next_cond_clockwait = dlsym(RTLD_NEXT, "pthread_cond_clockwait");
    next_sem_clockwait = dlsym(RTLD_NEXT, "sem_clockwait");
    boot_clock_stops = getenv("FOLDLOOM_BOOT_CLOCK_STOPS") != NULL;
    const char *path = getenv("FOLDLOOM_SUSPENDED");
    int file = path == NULL ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return;
    }
    void *page = mmap(NULL, sizeof(int64_t), PROT_READ, MAP_SHARED, file, 0);
    close(file);
    if (page != MAP_FAILED) {
        suspended_ns = page;
    }
}

static int is_steady(clockid_t clock) {
    return clock == CLOCK_MONOTONIC || clock == CLOCK_MONOTONIC_RAW ||
           clock == CLOCK_MONOTONIC_COARSE || (boot_clock_stops && clock == CLOCK_BOOTTIME);
}

static struct timespec shifted(const struct timespec *at, int64_t by_ns) {
    int64_t ns = at->tv_sec * NS_PER_S + at->tv_nsec + by_ns;
    return (struct timespec){.tv_sec = ns / NS_PER_S, .tv_nsec = ns % NS_PER_S};
}

/* The kernel's clock goes on, so a wait until a time of ours ends that much later by it. */
static struct timespec to_kernel(const struct timespec *until) {
    int is_ours = suspended_ns != NULL && until->tv_sec < TIME_OF_DAY_MIN_S;
    return is_ours ? shifted(until, *suspended_ns) : *until;
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    if (next_gettime == NULL) {
        next_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = next_gettime(clock, now);
    if (result == 0 && suspended_ns != NULL && is_steady(clock)) {
        *now = shifted(now, -*suspended_ns);
    }
    return result;
}

int pthread_cond_timedwait(pthread_cond_t *condition, pthread_mutex_t *mutex,
                           const struct timespec *until) {
    struct timespec real = to_kernel(until);
    return next_cond_wait(condition, mutex, &real);
}

int pthread_cond_clockwait(pthread_cond_t *condition, pthread_mutex_t *mutex, clockid_t clock,
                           const struct timespec *until) {
    struct timespec real = to_kernel(until);
    return next_cond_clockwait(condition, mutex, clock, &real);
}

int sem_clockwait(sem_t *semaphore, clockid_t clock, const struct timespec *until) {
    struct timespec real = to_kernel(until);
    return next_sem_clockwait(semaphore, clock, &real);
}
