check distribute pass -DEND=7
check distribute fail -DNO_AGE -DEND=6
check distribute fail -DANY_REVISION -DEND=6
check distribute fail -DNO_GRACE -DEND=6
check distribute fail -DAGE_FROM_ARRIVAL -DEND=6
