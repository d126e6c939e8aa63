package org.fuchsialever.decisions.batch;

/**
 * The state of a batch submission that all instances share. Its row serves as an optimistic lock:
 * results are written on the condition that the row has not changed.
 *
 * @param id ID of the submission
 * @param team the team that submitted it, empty if no key was needed
 * @param host host name that, with the path, selects the route
 * @param path path of the submission request
 * @param itemCount the number of items
 * @param resultCount the number of results stored so far; the next result has this position
 * @param submittedMillis when it was accepted, in milliseconds of the store's monotonic clock
 * @param owner the instance that runs its items, empty if no instance does
 * @param ownerStartId ID of the owner's process
 * @param epoch increases with each change of owner
 * @param ended whether its trainer has ended it
 * @param content facts about its content
 */
public record BatchState(
        String id,
        String team,
        String host,
        String path,
        int itemCount,
        int resultCount,
        long submittedMillis,
        String owner,
        String ownerStartId,
        long epoch,
        boolean ended,
        BatchContent content) {

    /** Returns whether every item has a result. */
    public boolean isComplete() {
        return resultCount >= itemCount;
    }

    /** Returns whether items still have to run. */
    public boolean isOpen() {
        return !ended && !isComplete();
    }

    /** Returns whether the given process of an instance owns the submission. */
    public boolean isOwnedBy(String instance, String start) {
        return owner.equals(instance) && ownerStartId.equals(start);
    }

    /** Returns the state with another owner and the next epoch. */
    public BatchState withOwner(String instance, String start) {
        return new BatchState(
                id,
                team,
                host,
                path,
                itemCount,
                resultCount,
                submittedMillis,
                instance,
                start,
                epoch + 1,
                ended,
                content);
    }

    /** Returns the state with another number of results. */
    public BatchState withResultCount(int count) {
        return new BatchState(
                id,
                team,
                host,
                path,
                itemCount,
                count,
                submittedMillis,
                owner,
                ownerStartId,
                epoch,
                ended,
                content);
    }

    /** Returns the state, marked as ended by the trainer. */
    public BatchState asEnded() {
        return new BatchState(
                id,
                team,
                host,
                path,
                itemCount,
                resultCount,
                submittedMillis,
                owner,
                ownerStartId,
                epoch,
                true,
                content);
    }
}
