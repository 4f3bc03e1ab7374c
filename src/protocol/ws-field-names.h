/**
 * The field names of the messages between users, workers, cloud, key-value store and controllers.
 *
 * They stay in this directory: everything above uses the standard terms, which stand beside them.
 * Fields that are spelled as in the standard have no name here unless several messages share them.
 */
#pragma once

/** Shared by several messages. */
#define WS_FIELD_ID "id"             /**< id of a job or of a listed machine */
#define WS_FIELD_ENDPOINT "endpoint" /**< address where a machine's worker takes commands */
#define WS_FIELD_MACHINE_TYPE "typ"  /**< type of a machine, of the catalog */
#define WS_FIELD_ZONE "hala"         /**< zone */
#define WS_FIELD_SPOT "vypujcky"     /**< spot machine; of a job: may run on spot machines */
#define WS_FIELD_CPUS "cpus"         /**< CPUs needed, or of a machine */
#define WS_FIELD_GPUS "accelerators" /**< GPUs needed, or of a machine */
#define WS_FIELD_MEMORY_GB "mem_gb"  /**< memory needed, or of a machine */
#define WS_FIELD_MACHINES "stroje"   /**< list of machines */
#define WS_FIELD_TASKS "kusy"        /**< of a job: their number; of a heartbeat: their list */
#define WS_FIELD_STATE "stav"        /**< state of a job, a task or a machine */

/** A job's submission. */
#define WS_FIELD_CLASS "trida"        /**< class, for objectives and estimates */
#define WS_FIELD_TEAM "dilna"         /**< team, whose quota it counts towards */
#define WS_FIELD_KIND "druh"          /**< kind: array, service or gang */
#define WS_FIELD_PRIORITY "prednost"  /**< priority class */
#define WS_FIELD_IMAGE "obraz"        /**< image */
#define WS_FIELD_IMAGE_GB "pull_gb"   /**< size of the image */
#define WS_FIELD_MACHINE_TYPES "typy" /**< allowed machine types; also the catalog's list */
#define WS_FIELD_ONE_ZONE "one_zone"  /**< zone affinity among the tasks */
#define WS_FIELD_SPREAD "scatter"     /**< zone anti-affinity: at most half in one zone */
#define WS_FIELD_ESTIMATE_S "odhad_s" /**< estimated run time of a task */
#define WS_FIELD_CHECKPOINT_INTERVAL_S "zaloha_s" /**< checkpoint interval */
#define WS_FIELD_CHECKPOINT_SAVE_S "ulozeni_s"    /**< time that a checkpoint at a stop takes */
#define WS_FIELD_DEADLINE_S "termin_s"            /**< deadline, from acceptance on */

/** A worker's heartbeat, and its answer to a command. */
#define WS_FIELD_MACHINE "stroj"            /**< name of the machine */
#define WS_FIELD_INCARNATION "smena"        /**< incarnation of the worker */
#define WS_FIELD_SEQUENCE "poradi"          /**< sequence number within the incarnation */
#define WS_FIELD_FENCING_TOKEN "pecet"      /**< fencing token: the highest epoch seen */
#define WS_FIELD_INTERRUPTION_S "vypoved_s" /**< interruption notice: time until the end */
#define WS_FIELD_TASK "kus"                 /**< task: JOB/NUMBER */
#define WS_FIELD_ATTEMPT "pokus"            /**< attempt number */
#define WS_FIELD_EXIT_REASON "duvod"        /**< why a task has exited */
#define WS_FIELD_IS_SAVED "stored"          /**< a stopped task's progress is in its checkpoint */

/** What a worker is told. */
#define WS_FIELD_COMMANDS "prikazy"     /**< list of commands */
#define WS_FIELD_OPERATION "ukon"       /**< operation of a command */
#define WS_FIELD_GRACE_S "lhuta_s"      /**< grace period of a stop */
#define WS_FIELD_REDIRECT "hlasit_komu" /**< controller that owns the machine */

/** The cloud: catalog, list of machines, rental, return. */
#define WS_FIELD_TYPE_NAME "sku"                /**< name of a machine type */
#define WS_FIELD_CACHE_GB "local_gb"            /**< size of a machine's image cache */
#define WS_FIELD_FETCH_GB_PER_S "pull_gb_per_s" /**< rate at which images are fetched, GB/s */
#define WS_FIELD_PRICE "price"                  /**< on-demand price */
#define WS_FIELD_SPOT_PRICE "low_price"         /**< spot price */
#define WS_FIELD_BOOT_S "boot_s"                /**< time from the rental to the first heartbeat */
#define WS_FIELD_ZONES "haly"                   /**< zones in which a type is offered */
#define WS_FIELD_AGE_S "age_s"                  /**< time since a listed machine was rented */
#define WS_FIELD_HAS_MORE "more"                /**< the list goes on on another page */
#define WS_FIELD_IDEMPOTENCY_KEY "objednavka"   /**< idempotency key of a rental */
#define WS_FIELD_MACHINE_COUNT "how_many"       /**< how many machines to rent */

/** The key-value store. */
#define WS_FIELD_REVISION "zmena" /**< revision of the store */
#define WS_FIELD_VERSION "verze"  /**< version of a key */
#define WS_FIELD_LEASE "najem"    /**< lease */
